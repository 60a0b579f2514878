package berylbranch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestFewRequestsBorrowNothingAhead(t *testing.T) {
	b := &Branch{}
	b.Count(at(0), 1)
	require.Zero(t, b.Lend(at(0), 1))
	n, _ := b.Ask(at(0), 1)
	require.Equal(t, 1, n)
	b.Lent(at(11), n, 0)
	require.Equal(t, 1, b.Lend(at(11), 1))
	n, _ = b.Ask(at(11), 0)
	require.Zero(t, n)
}

func TestManyRequestsBorrowAhead(t *testing.T) {
	b := &Branch{}
	for ms := range 1000 {
		b.Count(at(ms), 1)
	}
	n, _ := b.Ask(at(1000), 1)
	require.Greater(t, n, 10)
	b.Lent(at(1011), n, 0)
	again, _ := b.Ask(at(1011), 0)
	require.Zero(t, again, "enough is held")
	require.Equal(t, 40, b.Lend(at(1011), 40))
	again, _ = b.Ask(at(1012), 0)
	require.Positive(t, again)
}

func TestTokensExpire(t *testing.T) {
	b := &Branch{}
	n, _ := b.Ask(at(0), 3)
	b.Lent(at(10), n, 0)
	require.Zero(t, b.Lend(at(1010), 1))
}

func TestADenialIsKept(t *testing.T) {
	b := &Branch{}
	b.Ask(at(0), 1)
	b.Lent(at(10), 0, 50*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, b.Denied(at(30)))
	n, _ := b.Ask(at(30), 1)
	require.Zero(t, n)
	n, _ = b.Ask(at(60), 1)
	require.Equal(t, 1, n)
}

// The lender's data centre is cut off: others are asked, and only after two
// seconds the own part is used. One answer ends that.
func TestTheOwnPartIsUsedOnlyAfterLongSilence(t *testing.T) {
	b := &Branch{}
	var tries []int
	for ms := 0; ms < 2000; ms += 10 {
		require.False(t, b.Alone(at(ms)))
		if n, try := b.Ask(at(ms), 1); n > 0 {
			tries = append(tries, try)
		}
	}
	require.Equal(t, []int{0, 1, 2, 3}, tries[:4])
	require.True(t, b.Alone(at(2000)))
	asked := 0
	for ms := 2000; ms < 3000; ms += 10 {
		if n, _ := b.Ask(at(ms), 1); n > 0 {
			asked++
		}
	}
	require.LessOrEqual(t, asked, 6)
	b.Lent(at(3000), 1, 0)
	require.False(t, b.Alone(at(3000)))
}

// A question was lost and for long none was asked: that is no silence.
func TestARareQuestionThatIsLostIsNoSilence(t *testing.T) {
	b := &Branch{}
	b.Ask(at(0), 1)
	require.False(t, b.Alone(at(5000)))
	_, tries := b.Ask(at(5000), 1)
	require.Equal(t, 1, tries)
	require.False(t, b.Alone(at(5001)), "the second question has just been asked")
}
