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

// A surge of all classes meets a slow server: what gets through is the most
// important, and streams leave room for calls.
func TestSurgeShedsTheLeastImportant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := berylinvariant.New()
		s := New(berylpolicy.Full(), 10, guard)
		rnd := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var sent, served [3]int
		var all sync.WaitGroup
		for range 3000 {
			// 10 slots of 50 ms serve 200 calls/s; 1,000/s come, a tenth critical.
			time.Sleep(time.Millisecond)
			class := []int{0, 1, 1, 1, 1, 1, 2, 2, 2, 2}[rnd.IntN(10)]
			order := float64(class) + rnd.Float64()
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				release, ref := s.Acquire(ctx, order, class == 2)
				mu.Lock()
				sent[class]++
				mu.Unlock()
				if ref != nil {
					require.False(t, ref.MayHaveRun)
					return
				}
				time.Sleep(50 * time.Millisecond)
				release(50*time.Millisecond, 0, false)
				mu.Lock()
				served[class]++
				mu.Unlock()
			})
		}
		all.Wait()
		t.Logf("served %v of %v", served, sent)
		require.Zero(t, guard.Total())
		require.GreaterOrEqual(t, float64(served[0]), 0.99*float64(sent[0]))
		require.Greater(t, served[1], served[2])
		limit, calls, streams, waiting := s.State()
		require.Positive(t, limit)
		require.Zero(t, calls+streams+waiting)
	})
}
