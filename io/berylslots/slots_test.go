package berylslots

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"berylspan/core/berylinvariant"
	"berylspan/core/berylpolicy"
)

// Guards against load shedding that ignores importance and against streams that crowd
// out calls: a backend server receives five times the load that its slots can serve, in
// all classes, and all streams are in the least important class.
func TestSurgeShedsTheLeastImportant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := berylinvariant.New()
		s := New(berylpolicy.Full(), 10, guard)
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var sent, served [3]int
		var inflight sync.WaitGroup
		for range 3000 {
			// 10 slots at 50 ms per call serve 200 calls/s; 1,000/s arrive, a tenth of
			// them critical.
			time.Sleep(time.Millisecond)
			class := []int{0, 1, 1, 1, 1, 1, 2, 2, 2, 2}[random.IntN(10)]
			order := float64(class) + random.Float64()
			inflight.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				release, refusal := s.Acquire(ctx, order, class == 2)
				mu.Lock()
				sent[class]++
				mu.Unlock()
				if refusal != nil {
					require.False(t, refusal.MayHaveRun)
					return
				}
				time.Sleep(50 * time.Millisecond)
				release(50*time.Millisecond, 0, false)
				mu.Lock()
				served[class]++
				mu.Unlock()
			})
		}
		inflight.Wait()
		t.Logf("served %v of %v", served, sent)
		require.Zero(t, guard.Total())
		require.GreaterOrEqual(t, float64(served[0]), 0.99*float64(sent[0]))
		require.Greater(t, served[1], served[2])
		limit, calls, streams, waiting := s.State()
		require.Positive(t, limit)
		require.Zero(t, calls+streams+waiting)
	})
}
