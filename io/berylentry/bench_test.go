package berylentry

import (
	"fmt"
	"testing"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylclass"
	"berylspan/core/berylhash"
	"berylspan/core/beryllevel"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokencache"
)

// BenchmarkAdmission is the decision on one call: rank, level and token, with
// the given number of workspaces.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			h := beryltokencache.New(beryltiming.Default(), func() uint64 { return 1 })
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace", i)
				h.RecordCall(now, names[i], berylclass.Standard)
			}
			l := beryllevel.New()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w := names[i%n]
				now = now.Add(time.Microsecond)
				h.RecordCall(now, w, berylclass.Standard)
				use := h.FleetDemand(now, w)
				order := berylcall.Order(int(berylclass.Standard), berylhash.Fraction(w)*use)
				if l.Admit(now, order) {
					_, _ = h.Take(now, w, berylclass.Standard)
				}
			}
		})
	}
}
