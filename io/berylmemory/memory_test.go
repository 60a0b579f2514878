package berylmemory

import (
	"testing"

	"berylspan/core/berylmemorybudget"

	"github.com/stretchr/testify/require"
)

func TestConnectionThatHoldsMostIsClosedForAnotherOne(t *testing.T) {
	m := New(berylmemorybudget.Limits{Total: 1000})
	var closed []string
	open := func(name string) *Holder { return m.Open("10.0.0.1", func() { closed = append(closed, name) }) }
	first, second, third := open("first"), open("second"), open("third")
	require.True(t, first.Charge(300))
	require.True(t, second.Charge(600))
	require.True(t, third.Charge(200))
	require.Equal(t, []string{"second"}, closed)
	require.False(t, second.Charge(1))
	second.Release(600, false)
	second.Close()
	require.EqualValues(t, 500, m.Held())
}

func TestConnectionWithoutEvictIsKept(t *testing.T) {
	m := New(berylmemorybudget.Limits{Total: 1000})
	peer := m.Open("", nil)
	require.True(t, peer.Charge(900))
	require.False(t, m.Open("10.0.0.1", func() {}).Charge(200))
	peer.Release(900, false)
	require.Zero(t, m.Held())
}
