package berylhttpstatus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStatus(t *testing.T) {
	for _, tc := range []struct {
		name           string
		status         int
		final, interim bool
	}{
		{"negative", -200, false, false},
		{"none", 0, false, false},
		{"below 100", 99, false, false},
		{"continue", 100, false, true},
		{"another protocol", 101, false, false},
		{"processing", 102, false, true},
		{"last interim", 199, false, true},
		{"success", 200, true, false},
		{"unknown server error", 599, true, false},
		{"above 599", 600, false, false},
		{"three digits", 999, false, false},
		{"four digits", 2000, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.final, IsFinal(tc.status))
			require.Equal(t, tc.interim, IsInterim(tc.status))
		})
	}
}
