package berylserverstatus_test

import (
	"fmt"
	"testing"

	"berylspan/core/berylserverstatus"

	"github.com/stretchr/testify/require"
)

func ExampleParse() {
	s, err := berylserverstatus.Parse("17.8", "1")
	fmt.Println(s.Limited, s.Limit, s.Leaving, err)
	// Output: true 17.8 true <nil>
}

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		name, limit, leaving string
		want                 berylserverstatus.Status
		ok                   bool
	}{
		{"no field", "", "", berylserverstatus.Status{}, true},
		{"a limit", "4.5", "", berylserverstatus.Status{Limited: true, Limit: 4.5}, true},
		{"a limit of zero is a limit", "0", "", berylserverstatus.Status{Limited: true}, true},
		{"leaving", "", "1", berylserverstatus.Status{Leaving: true}, true},
		{"not leaving", "", "0", berylserverstatus.Status{}, true},
		{"a malformed limit does not hide that the server is leaving", "many", "1", berylserverstatus.Status{Leaving: true}, false},
		{"negative", "-1", "", berylserverstatus.Status{}, false},
		{"not a number", "NaN", "", berylserverstatus.Status{}, false},
		{"infinite", "1e999", "", berylserverstatus.Status{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := berylserverstatus.Parse(tc.limit, tc.leaving)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.ok, err == nil)
		})
	}
}
