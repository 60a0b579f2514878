package berylconfig

import (
	"strings"
	"testing"

	"berylspan/core/beryldigest"

	"github.com/stretchr/testify/require"
)

// A daemon accepted lists that no message between daemons can hold, whose texts are UTF-8. It
// could not pass on any list from then on.
func TestListThatIsNotUTF8IsAccepted(t *testing.T) {
	for _, tc := range []struct {
		name, workspaces, plans string
		findings                int
	}{
		{"workspace", `{"workspaces": [{"name": "` + "w\xff" + `", "plan": "small", "keys": []}]}`, validPlans, 1},
		{"name of a field", `{"workspaces": [], "` + "\xc3" + `": 1}`, validPlans, 1},
		{"plan", validWorkspaces(), strings.Replace(validPlans, `"name": "small"`, `"name": "small`+"\xe4"+`"`, 1), 2},
		{"route", validWorkspaces(), strings.Replace(validPlans, `"service": "s"`, `"service": "`+"\xed\xa0\x80"+`"`, 1), 2},
		{"both lists", "\xff" + validWorkspaces(), "\xff" + validPlans, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg, findings := Parse(1, []byte(tc.workspaces), []byte(tc.plans))
			require.Nil(t, cfg)
			require.Len(t, findings, tc.findings)
			require.Contains(t, findings[0].String(), "not UTF-8")
		})
	}
	t.Run("UTF-8 is accepted", func(t *testing.T) {
		keys := `"keys": ["` + beryldigest.Of("k").String() + `"]`
		cfg, findings := Parse(1, []byte(`{"workspaces": [{"name": "señal \ud800", "plan": "small", `+keys+`}]}`), []byte(validPlans))
		require.Empty(t, findings)
		require.NotNil(t, cfg)
	})
}
