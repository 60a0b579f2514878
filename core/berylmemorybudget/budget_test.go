package berylmemorybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const machine = 184 << 20 // bytes

func TestReadingAheadStopsBeforeAnythingIsRefused(t *testing.T) {
	b := New(LimitsFor(machine, 0))
	head := HeadCost(16384, 4000)
	for range 30 {
		a := b.Open("10.0.0.1", true)
		for i := range 64 {
			if i > 0 && !b.MayReadAhead(a, head) {
				break
			}
			evicted, ok := b.Charge(a, head)
			require.True(t, ok)
			require.Empty(t, evicted)
		}
	}
	require.LessOrEqual(t, b.Total(), LimitsFor(machine, 0).Total)
}

func TestOrdinaryRequestIsServedBesideConnectionsThatHoldTheMemory(t *testing.T) {
	b := New(LimitsFor(machine, 0))
	for held := true; held; {
		a := b.Open("10.0.0.1", true)
		_, held = b.Charge(a, 1<<20)
	}
	ordinary := b.Open("10.0.0.1", true)
	evicted, ok := b.Charge(ordinary, RequestCost)
	require.True(t, ok)
	require.LessOrEqual(t, len(evicted), 1)
}

func TestOtherAddressesAreServedBesideOneThatHoldsItsPart(t *testing.T) {
	b := New(LimitsFor(machine, 0))
	for held := true; held; {
		a := b.Open("10.0.0.1", true)
		_, held = b.Charge(a, RequestCost)
	}
	evicted, ok := b.Charge(b.Open("10.0.0.2", true), RequestCost)
	require.True(t, ok)
	require.Empty(t, evicted)
}

func TestManyOrdinaryConnectionsAreNotClosedForOneAnother(t *testing.T) {
	b := New(LimitsFor(machine, 0))
	for range 2500 {
		evicted, ok := b.Charge(b.Open("10.0.0.1", true), RequestCost)
		require.True(t, ok)
		require.Empty(t, evicted)
	}
	for range 5000 {
		evicted, _ := b.Charge(b.Open("10.0.0.1", true), RequestCost)
		require.Empty(t, evicted, "new ones are refused")
	}
}

func TestBoundOnRequestsReadAheadCountsAllConnections(t *testing.T) {
	b := New(LimitsFor(0, 80))
	first, second := b.Open("", true), b.Open("", true)
	for range 10 {
		require.True(t, b.BeginAhead(first, 1))
	}
	require.False(t, b.BeginAhead(second, 1))
	b.EndAhead(first)
	require.True(t, b.BeginAhead(second, 1))
	b.Close(first)
	require.True(t, b.BeginAhead(second, 1))
}

func TestClosedAccountsHoldNothing(t *testing.T) {
	b := New(LimitsFor(machine, 0))
	a := b.Open("", true)
	_, ok := b.Charge(a, 100)
	require.True(t, ok)
	b.Close(a)
	b.Release(a, 100)
	b.Close(a)
	require.Zero(t, b.Total())
	_, ok = b.Charge(a, 1)
	require.False(t, ok)
}
