package berylconfig

import (
	"fmt"
	"strings"
	"testing"

	"berylspan/core/beryldigest"
	"berylspan/core/berylentries"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const validPlans = `{
  "zones": [{"name": "a", "weight": 3}, {"name": "b", "weight": 1}],
  "routes": [{"path": "/p.S/Get", "service": "s", "class": "critical", "timeout": "1s"}],
  "plans": [{"name": "small", "rate": 10, "burst": 20, "routes": ["/p.S/*"]}]
}`

func validWorkspaces() string {
	return `{"workspaces": [{"name": "w", "plan": "small", "keys": ["` + beryldigest.Of("k").String() + `"]}]}`
}

func TestParse(t *testing.T) {
	scenarios := []struct {
		name       string
		workspaces string
		plans      string
		want       []string
	}{
		{"accepts valid lists", validWorkspaces(), validPlans, nil},
		{
			"reports every finding with its path",
			`{"workspaces": [{"name": "", "plan": "big", "keys": ["x"], "more": 1}]}`,
			`{"zones": [{"name": "a", "weight": -1}], "routes": [{"path": "p", "service": "s", "class": "urgent"}],
			  "plans": [{"name": "small", "rate": 0, "routes": ["/q"]}]}`,
			[]string{
				"plans: zones[0].weight: must be between 1e-06 and 1e+06",
				"plans: routes[0].class: must be critical, standard or bulk",
				"plans: routes[0].path: must have the form /package.Service/Method",
				"plans: plans[0].rate: must be between 0.001 and 1e+07",
				"plans: plans[0].burst: missing",
				`plans: plans[0].routes[0]: no route "/q"`,
				"workspaces: workspaces[0].more: unknown name",
				"workspaces: workspaces[0].name: must not be empty",
				`workspaces: workspaces[0].plan: no plan "big"`,
				"workspaces: workspaces[0].keys[0]: must be 64 hexadecimal digits, the SHA-256 of a key",
			},
		},
		{
			"reports duplicate member names",
			validWorkspaces(),
			`{"zones": [{"name": "a"}, {"name": "a"}], "zones": [{"name": "a"}], "routes": [{"path": "/p.S/Get", "service": "s"}],
			  "plans": [{"name": "small", "rate": 10, "burst": 20, "routes": ["/p.S/Get"]}]}`,
			[]string{"plans: zones: given twice"},
		},
		{"reports the line of a syntax error", validWorkspaces(), "{\n\"zones\": [}", []string{
			"plans: line 2: invalid character '}' looking for beginning of value",
			`workspaces: workspaces[0].plan: no plan "small"`,
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			cfg, findings := Parse(1, []byte(s.workspaces), []byte(s.plans))
			var got []string
			for _, f := range findings {
				got = append(got, f.String())
			}
			require.Equal(t, s.want, got)
			require.Equal(t, s.want == nil, cfg != nil)
		})
	}
}

func TestWorkspaceByKeyFindsOnlyValidKeys(t *testing.T) {
	cfg, findings := Parse(1, []byte(validWorkspaces()), []byte(validPlans))
	require.Empty(t, findings)
	w, ok := cfg.WorkspaceByKey(beryldigest.Of("k"))
	require.True(t, ok)
	require.Equal(t, "w", w.Name)
	_, ok = cfg.WorkspaceByKey(beryldigest.Of("other"))
	require.False(t, ok)
}

// Applying the differences between two versions of the lists must give the same
// result as parsing the second version: the same configuration, or a rejection.
func TestApplyAgreesWithParse(t *testing.T) {
	keyDigest := func(i int) string { return beryldigest.Of(fmt.Sprint(i)).String() }
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []byte {
			ws := []string{}
			for i, k := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID[int]).Draw(t, label) {
				plan := rapid.SampledFrom([]string{"small", "small", "small", "none"}).Draw(t, "plan")
				ws = append(ws, fmt.Sprintf(`{"name":"w%d","plan":%q,"keys":[%q]}`, i, plan, keyDigest(k)))
			}
			return []byte(`{"workspaces":[` + strings.Join(ws, ",") + `]}`)
		}
		before, after := draw("before"), draw("after")
		old, findings := Parse(1, before, []byte(validPlans))
		if len(findings) > 0 {
			return
		}
		from, err := berylentries.Split(before, []byte(validPlans))
		require.NoError(t, err)
		to, err := berylentries.Split(after, []byte(validPlans))
		require.NoError(t, err)
		want, _ := Parse(2, after, []byte(validPlans))
		got, _ := Apply(old, 2, to, to.Diff(from))
		require.Equal(t, want != nil, got != nil)
		if want != nil {
			require.Equal(t, want.Workspaces, got.Workspaces)
			require.Equal(t, want.byKey, got.byKey)
		}
	})
}
