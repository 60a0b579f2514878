package berylevacuation_test

import (
	"testing"

	"berylspan/core/berylevacuation"

	"github.com/stretchr/testify/require"
)

func TestEvacuationsThatHold(t *testing.T) {
	type changes = map[string]bool
	known := berylevacuation.Zones{"a": 2}
	for _, tc := range []struct {
		name string
		got  berylevacuation.Zones
		want []string
	}{
		{"one more is published", known.Apply(2, changes{"b": true}), []string{"a", "b"}},
		{"one is taken back", known.Apply(2, changes{"a": false}), nil},
		{"one that does not hold is taken back", known.Apply(2, changes{"c": false}), []string{"a"}},
		{"the first one", berylevacuation.Zones(nil).Apply(2, changes{"b": true}), []string{"b"}},
		{"a whole read without it", known.Replace(2, changes{"b": true}), []string{"b"}},
		{"a whole read of a restored store without it", known.Replace(3, changes{"b": true}), []string{"a", "b"}},
		{"the second whole read after a restore", known.Replace(3, nil).Replace(3, nil), []string{"a"}},
		{"taken back after a restore", known.Replace(3, nil).Apply(3, changes{"a": false}), nil},
		{"published again after a restore, then gone", known.Replace(3, nil).Apply(3, changes{"a": true}).Replace(3, nil), nil},
		{"from another instance that saw the restore", known.Merge(3, berylevacuation.Zones{"b": 3}), []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, tc.got.Names()) })
	}
	require.Equal(t, berylevacuation.Zones{"a": 2}, known, "immutable")
	require.True(t, known.Contains("a"))
	require.False(t, known.Contains("b"))
}
