package berylapp

import (
	"bytes"
	"context"
	"testing"

	"berylspan/io/beryldemo"

	"github.com/stretchr/testify/require"
)

// Flags that the plain HTTP demo has no use for were ignored, so that it seemed to compare
// policies.
func TestDemoOfPlainHTTPRefusesFlagsThatItDoesNotTake(t *testing.T) {
	for _, tc := range []struct {
		name string
		args []string
		code int
	}{
		{"seed and length", []string{"-seed", "2", "-for", "1s"}, OK},
		{"policy and fault", []string{"-policy", "off", "-fault", "storm"}, OK},
		{"JSON", []string{"-json"}, Usage},
		{"fault and JSON", []string{"-json", "-fault", "surge"}, Usage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out, complaints bytes.Buffer
			played := false
			a := New(&out, &complaints, DemoHTTP(func(context.Context, beryldemo.Options) (int, error) {
				played = true
				return 0, nil
			}))
			require.Equal(t, tc.code, a.Run(append([]string{"demo", "-case", "http"}, tc.args...)))
			require.Equal(t, tc.code == OK, played)
			if tc.code != OK {
				require.Contains(t, complaints.String(), tc.args[0])
			}
		})
	}
}
