package berylcontrol

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/core/berylsnapshot"
)

// fleet returns a control that knows n instances in 12 data centres.
func fleet(n int) *Control {
	var list []berylinstance.Instance
	for i := range n {
		list = append(list, berylinstance.Instance{
			ID: fmt.Sprintf("service-%d-%d", i%450, i), Service: fmt.Sprintf("service-%d", i%450),
			Zone: fmt.Sprintf("zone-%d", i%12), PeerAddr: fmt.Sprintf("10.0.%d.%d:8081", i/256, i%256),
		})
	}
	c := New(list[0], nil, nil, berylinvariant.New(), zerolog.Nop())
	c.members.ApplyList(1, list)
	c.snapshot.Store(berylsnapshot.New(nil, list))
	return c
}

// BenchmarkMembership is what a change of the list costs, and what every sync
// and tick costs, by number of instances.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{100, 1000, 9800} {
		c := fleet(n)
		b.Run(fmt.Sprintf("publish/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.publish()
			}
		})
		b.Run(fmt.Sprintf("neighbours/%d", n), func(b *testing.B) {
			for b.Loop() {
				_ = c.neighbours()
			}
		})
		b.Run(fmt.Sprintf("reader/%d", n), func(b *testing.B) {
			for b.Loop() {
				_ = c.reader(c.begun)
			}
		})
	}
}
