package berylchanges_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"berylspan/core/berylchanges"
	"berylspan/core/beryllisted"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type list = map[string]beryllisted.Registration

// Applying the differences to any remembered state must give the present list.
func TestDiffSinceRestoresThePresentList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := berylchanges.New()
		now := list{}
		change := int64(0)
		states := []list{}
		changes := []int64{}
		for range rapid.IntRange(1, 100).Draw(t, "changes") {
			next := maps.Clone(now)
			for range rapid.IntRange(1, 3).Draw(t, "entries") {
				id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
				if rapid.Bool().Draw(t, "gone") {
					delete(next, id)
				} else {
					next[id] = beryllisted.Registration{ID: id, Slots: rapid.IntRange(0, 2).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving")}
				}
			}
			change += int64(rapid.IntRange(1, 5).Draw(t, "step"))
			h.Record(change, berylchanges.Digest(next), now, next)
			now = next
			states, changes = append(states, now), append(changes, change)
		}
		for i, s := range states {
			updated, removed, ok := h.DiffSince(changes[i], berylchanges.Digest(s), now)
			require.Equal(t, i >= len(states)-64, ok)
			if ok {
				require.Equal(t, now, berylchanges.Apply(s, updated, removed))
			}
		}
	})
}

func TestUnknownStateGetsTheWholeList(t *testing.T) {
	h := berylchanges.New()
	now := list{"a": {ID: "a", Slots: 1}}
	h.Record(5, berylchanges.Digest(now), nil, now)
	_, _, ok := h.DiffSince(5, 1, now)
	require.False(t, ok, "same change number, different list")
	_, _, ok = h.DiffSince(4, berylchanges.Digest(now), now)
	require.False(t, ok)
}

func TestRestartedChangeNumbersClearTheHistory(t *testing.T) {
	h := berylchanges.New()
	a, b := list{"a": {ID: "a"}}, list{"b": {ID: "b"}}
	h.Record(5, berylchanges.Digest(a), nil, a)
	h.Record(3, berylchanges.Digest(b), a, b)
	_, _, ok := h.DiffSince(5, berylchanges.Digest(a), b)
	require.False(t, ok)
}

func TestDigestIgnoresWarm(t *testing.T) {
	a := list{"a": {ID: "a", Warm: time.Second}}
	require.Equal(t, berylchanges.Digest(list{"a": {ID: "a"}}), berylchanges.Digest(a))
	require.NotEqual(t, berylchanges.Digest(list{"a": {ID: "a", Leaving: true}}), berylchanges.Digest(a))
	require.NotEqual(t, berylchanges.Digest(list{"a": {ID: "a", Service: "x"}}), berylchanges.Digest(list{"a": {ID: "a", Zone: "x"}}))
}
