package berylhomes_test

import (
	"testing"

	"berylspan/core/berylhomes"

	"github.com/stretchr/testify/require"
)

func TestRegionsInWhichARequestMayRun(t *testing.T) {
	ab, bc, c := []string{"a", "b"}, []string{"b", "c"}, []string{"c"}
	for _, tc := range []struct {
		name  string
		homes berylhomes.Homes
		want  []string
	}{
		{"neither names any", berylhomes.Homes{}, []string{"", "a", "b", "c"}},
		{"the rule does", berylhomes.Homes{Rule: ab}, []string{"a", "b"}},
		{"the workspace does", berylhomes.Homes{Workspace: bc}, []string{"b", "c"}},
		{"both do", berylhomes.Homes{Rule: ab, Workspace: bc}, []string{"b"}},
		{"both do and have none in common", berylhomes.Homes{Rule: ab, Workspace: c}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, region := range []string{"", "a", "b", "c"} {
				if tc.homes.Allow(region) {
					got = append(got, region)
				}
			}
			require.Equal(t, tc.want, got)
			require.Equal(t, len(tc.want) < 4, tc.homes.Bound())
		})
	}
}
