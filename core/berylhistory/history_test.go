package berylhistory_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"berylspan/core/berylhistory"
	"berylspan/core/berylregistration"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type list = map[string]berylregistration.Registration

// Applying the differences to any remembered state must give the present list.
func TestDiffSinceRestoresThePresentList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := berylhistory.New()
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
					next[id] = berylregistration.Registration{ID: id, Slots: rapid.IntRange(0, 2).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving")}
				}
			}
			change += int64(rapid.IntRange(1, 5).Draw(t, "step"))
			h.Record(change, berylhistory.Digest(next), now, next)
			now = next
			states, changes = append(states, now), append(changes, change)
		}
		for i, s := range states {
			updated, removed, ok := h.DiffSince(changes[i], berylhistory.Digest(s), now)
			require.Equal(t, i >= len(states)-64, ok)
			if ok {
				require.Equal(t, now, berylhistory.Apply(s, updated, removed))
			}
		}
	})
}

func TestUnknownStateGetsTheWholeList(t *testing.T) {
	h := berylhistory.New()
	now := list{"a": {ID: "a", Slots: 1}}
	h.Record(5, berylhistory.Digest(now), nil, now)
	_, _, ok := h.DiffSince(5, 1, now)
	require.False(t, ok, "same change number, different list")
	_, _, ok = h.DiffSince(4, berylhistory.Digest(now), now)
	require.False(t, ok)
}

func TestRestartedChangeNumbersClearTheHistory(t *testing.T) {
	h := berylhistory.New()
	a, b := list{"a": {ID: "a"}}, list{"b": {ID: "b"}}
	h.Record(5, berylhistory.Digest(a), nil, a)
	h.Record(3, berylhistory.Digest(b), a, b)
	_, _, ok := h.DiffSince(5, berylhistory.Digest(a), b)
	require.False(t, ok)
}

func TestDigestIgnoresWarm(t *testing.T) {
	a := list{"a": {ID: "a", Warm: time.Second}}
	require.Equal(t, berylhistory.Digest(list{"a": {ID: "a"}}), berylhistory.Digest(a))
	require.NotEqual(t, berylhistory.Digest(list{"a": {ID: "a", Leaving: true}}), berylhistory.Digest(a))
	require.NotEqual(t, berylhistory.Digest(list{"a": {ID: "a", Service: "x"}}), berylhistory.Digest(list{"a": {ID: "a", Zone: "x"}}))
}
