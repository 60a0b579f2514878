package berylexplanation_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"berylspan/core/berylexplanation"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files") //nolint:gochecknoglobals // A flag.

// Operators and their scripts read both forms.
func TestForms(t *testing.T) {
	age := 250.0
	for name, e := range map[string]berylexplanation.Explanation{
		"placed": {
			To: "shop.example/orders", Workspace: "luna", Rule: "orders", RatePerSecond: 50,
			Services: []berylexplanation.Service{
				{Name: "orders", Weight: 0.9, Servers: []berylexplanation.Server{
					{ID: "i-1", Zone: "a", Share: 0.75, ExpectedMs: 120, ServiceMs: 100, Busy: 4, Limit: 10, AgeMs: &age},
					{ID: "i-2", Zone: "a", Share: 0.25, ExpectedMs: 120, ServiceMs: 110, Busy: 8, Limit: 10, AgeMs: &age, Notes: []string{"started recently"}},
					{ID: "i-3", Zone: "b", Busy: 0, Limit: 10, Excluded: "listed as leaving", Notes: []string{"other data centre"}},
				}},
				{Name: "orders-next", Weight: 0.1, Refused: "no instance"},
			},
		},
		"full": {To: "shop.example/slow", Rule: "slow", Services: []berylexplanation.Service{{
			Name: "slow", Weight: 1, Refused: "no server has room in time", WaitMs: 900, ReturnAfterMs: 500,
			Servers: []berylexplanation.Server{{ID: "i-4", Zone: "a", Share: 1, ExpectedMs: 1000, ServiceMs: 100, Busy: 99, Limit: 10, AgeMs: &age}},
		}}},
		"refused": {To: "shop.example/other", Refused: "no rule"},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := json.MarshalIndent(e, "", "  ")
			require.NoError(t, err)
			for suffix, got := range map[string]string{".json": string(data) + "\n", ".txt": e.String()} {
				path := filepath.Join("testdata", name+suffix)
				if *update {
					require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
				}
				want, err := os.ReadFile(path)
				require.NoError(t, err)
				require.Equal(t, string(want), got)
			}
		})
	}
}
