package berylplacement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func half() float64 { return 0.5 }

func TestChoose(t *testing.T) {
	costs := Costs{CrossZone: 0.06}
	for _, c := range []struct {
		name string
		cs   []Candidate
		want int
	}{
		{"own data centre while it has capacity", []Candidate{{Limit: 10, ServiceTime: 0.1, OtherZone: true}, {Limit: 10, ServiceTime: 0.1, Busy: 4}}, 1},
		{"other data centre when the own one is full", []Candidate{{Limit: 10, ServiceTime: 0.1, OtherZone: true}, {Limit: 10, ServiceTime: 0.1, Busy: 18}}, 0},
		{"own data centre despite high utilisation when requests are long", []Candidate{{Limit: 100, ServiceTime: 1, OtherZone: true, Busy: 40}, {Limit: 100, ServiceTime: 1, Busy: 75}}, 1},
		{"less utilised of two equal servers", []Candidate{{Limit: 10, ServiceTime: 0.5, Busy: 6}, {Limit: 10, ServiceTime: 0.5, Busy: 2}}, 1},
		{"faster server", []Candidate{{Limit: 10, ServiceTime: 0.2}, {Limit: 10, ServiceTime: 0.1}}, 1},
		{"warm server rather than a cold one", []Candidate{{Limit: 10, ServiceTime: 0.1, Cold: true}, {Limit: 10, ServiceTime: 0.1}}, 1},
		{"suspect server only when no other is left", []Candidate{{Limit: 10, Suspect: true}, {Limit: 10, OtherZone: true, Busy: 20}}, 1},
		{"suspect server rather than none", []Candidate{{Limit: 10, Suspect: true}, {Limit: 10, Excluded: true}}, 0},
		{"none when all are excluded", []Candidate{{Limit: 10, Excluded: true}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := new(Chooser).Choose(c.cs, costs, half)
			require.Equal(t, c.want, got)
		})
	}
}
