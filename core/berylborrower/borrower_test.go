package berylborrower

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestFewRequestsPrefetchNothing(t *testing.T) {
	b := &Borrower{}
	b.RecordDemand(at(0), 1)
	require.Zero(t, b.Take(at(0), 1))
	n, _ := b.StartBorrow(at(0), 1)
	require.Equal(t, 1, n)
	b.HandleReply(at(11), n, 0)
	require.Equal(t, 1, b.Take(at(11), 1))
	n, _ = b.StartBorrow(at(11), 0)
	require.Zero(t, n)
}

func TestManyRequestsPrefetch(t *testing.T) {
	b := &Borrower{}
	for ms := range 1000 {
		b.RecordDemand(at(ms), 1)
	}
	n, _ := b.StartBorrow(at(1000), 1)
	require.Greater(t, n, 10)
	b.HandleReply(at(1011), n, 0)
	again, _ := b.StartBorrow(at(1011), 0)
	require.Zero(t, again, "enough tokens are held")
	require.Equal(t, 40, b.Take(at(1011), 40))
	again, _ = b.StartBorrow(at(1012), 0)
	require.Positive(t, again)
}

func TestTokensExpire(t *testing.T) {
	b := &Borrower{}
	n, _ := b.StartBorrow(at(0), 3)
	b.HandleReply(at(10), n, 0)
	require.Zero(t, b.Take(at(1010), 1))
}

func TestDenialSuppressesRequests(t *testing.T) {
	b := &Borrower{}
	b.StartBorrow(at(0), 1)
	b.HandleReply(at(10), 0, 50*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, b.RetryAfter(at(30)))
	n, _ := b.StartBorrow(at(30), 1)
	require.Zero(t, n)
	n, _ = b.StartBorrow(at(60), 1)
	require.Equal(t, 1, n)
}

// Guards against falling back too early when the lender's data centre is cut off:
// other instances are asked, and only after two seconds without a reply is the data
// centre's own share used. One reply ends the fallback.
func TestLenderIsUnreachableOnlyAfterTimeout(t *testing.T) {
	b := &Borrower{}
	var retries []int
	for ms := 0; ms < 2000; ms += 10 {
		require.False(t, b.LenderUnreachable(at(ms)))
		if n, retry := b.StartBorrow(at(ms), 1); n > 0 {
			retries = append(retries, retry)
		}
	}
	require.Equal(t, []int{0, 1, 2, 3}, retries[:4])
	require.True(t, b.LenderUnreachable(at(2000)))
	requests := 0
	for ms := 2000; ms < 3000; ms += 10 {
		if n, _ := b.StartBorrow(at(ms), 1); n > 0 {
			requests++
		}
	}
	require.LessOrEqual(t, requests, 6)
	b.HandleReply(at(3000), 1, 0)
	require.False(t, b.LenderUnreachable(at(3000)))
}

// Guards against taking the lender for unreachable when a single borrow request is lost
// and the next one follows only much later.
func TestSingleLostRequestDoesNotMeanUnreachable(t *testing.T) {
	b := &Borrower{}
	b.StartBorrow(at(0), 1)
	require.False(t, b.LenderUnreachable(at(5000)))
	_, retries := b.StartBorrow(at(5000), 1)
	require.Equal(t, 1, retries)
	require.False(t, b.LenderUnreachable(at(5001)), "the second borrow request has just been sent")
}
