package berylingress

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

// BenchmarkAdmission measures the admission decision on one call (rank, admission level
// and token) with different numbers of workspaces.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			cache := beryltokencache.New(beryltiming.Default(), func() uint64 { return 1 })
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace", i)
				cache.RecordCall(now, names[i], berylclass.Standard)
			}
			level := beryllevel.New()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w := names[i%n]
				now = now.Add(time.Microsecond)
				cache.RecordCall(now, w, berylclass.Standard)
				demand := cache.FleetDemand(now, w)
				order := berylcall.Order(int(berylclass.Standard), berylhash.Fraction(w)*demand)
				if level.Admit(now, order) {
					_, _ = cache.Take(now, w, berylclass.Standard)
				}
			}
		})
	}
}
