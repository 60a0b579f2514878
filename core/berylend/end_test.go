package berylend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMayRepeat(t *testing.T) {
	for _, c := range []struct {
		name        string
		end         End
		status      int
		once, again bool // for requests that may run once only, and for others
	}{
		{"a whole answer is final", Answered, 200, false, false},
		{"a refusal by the backend server is final", Answered, 404, false, false},
		{"a failure may be bettered", Answered, 500, false, true},
		{"what was never sent goes elsewhere", Unsent, 0, true, true},
		{"what was rejected goes elsewhere", Rejected, 503, true, true},
		{"what may have run is not repeated", Unknown, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.once, c.end.MayRepeat(false, c.status))
			require.Equal(t, c.again, c.end.MayRepeat(true, c.status))
			require.Equal(t, c.end, Parse(c.end.String()))
		})
	}
}
