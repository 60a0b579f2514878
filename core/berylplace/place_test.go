package berylplace

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func half() float64 { return 0.5 }

func TestChoose(t *testing.T) {
	costs := Costs{Far: 0.06}
	for _, c := range []struct {
		name string
		cs   []Candidate
		want int
	}{
		{"the own data centre while it has room", []Candidate{{Limit: 10, Hold: 0.1, Far: true}, {Limit: 10, Hold: 0.1, Busy: 4}}, 1},
		{"another data centre when the own one is full", []Candidate{{Limit: 10, Hold: 0.1, Far: true}, {Limit: 10, Hold: 0.1, Busy: 18}}, 0},
		{"the own data centre although it is well used, when requests take long", []Candidate{{Limit: 100, Hold: 1, Far: true, Busy: 40}, {Limit: 100, Hold: 1, Busy: 75}}, 1},
		{"the less used of two alike", []Candidate{{Limit: 10, Hold: 0.5, Busy: 6}, {Limit: 10, Hold: 0.5, Busy: 2}}, 1},
		{"the faster server", []Candidate{{Limit: 10, Hold: 0.2}, {Limit: 10, Hold: 0.1}}, 1},
		{"no server that has just started", []Candidate{{Limit: 10, Hold: 0.1, Cold: true}, {Limit: 10, Hold: 0.1}}, 1},
		{"one that failed only when nothing else is left", []Candidate{{Limit: 10, Distrust: true}, {Limit: 10, Far: true, Busy: 20}}, 1},
		{"one that failed rather than none", []Candidate{{Limit: 10, Distrust: true}, {Limit: 10, Tried: true}}, 0},
		{"none when all were tried", []Candidate{{Limit: 10, Tried: true}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := Choose(c.cs, costs, half)
			require.Equal(t, c.want, got)
		})
	}
}
