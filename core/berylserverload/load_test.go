package berylserverload_test

import (
	"fmt"
	"testing"

	"berylspan/core/berylserverload"

	"github.com/stretchr/testify/require"
)

func ExampleParse() {
	l, ok := berylserverload.Parse("3,0,8,250")
	fmt.Println(l.Running, l.Waiting, l.Slots, l.Slowdown, ok)
	// Output: 3 0 8 2.5 true
}

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		name, value string
		want        berylserverload.Load
		ok          bool
	}{
		{"three figures", "3,1,8", berylserverload.Load{Running: 3, Waiting: 1, Slots: 8}, true},
		{"spaces", " 3, 1, 8, 100 ", berylserverload.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 1}, true},
		{"further figures", "3,1,8,40,7", berylserverload.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 0.4}, true},
		{"slowdown that is no number", "3,1,8,x", berylserverload.Load{Running: 3, Waiting: 1, Slots: 8}, true},
		{"slowdown of nothing", "3,1,8,0", berylserverload.Load{Running: 3, Waiting: 1, Slots: 8}, true},
		{"slowdown that is not finite", "3,1,8,NaN", berylserverload.Load{Running: 3, Waiting: 1, Slots: 8}, true},
		{"two figures", "3,1", berylserverload.Load{}, false},
		{"running is no number", "x,1,8", berylserverload.Load{}, false},
		{"waiting is no number", "3,,8", berylserverload.Load{}, false},
		{"nothing", "", berylserverload.Load{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := berylserverload.Parse(tc.value)
			require.Equal(t, tc.ok, ok)
			require.Equal(t, tc.want, got)
		})
	}
}
