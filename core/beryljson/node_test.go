package beryljson

import (
	"runtime"
	"strings"
	"testing"

	"berylspan/core/berylfinding"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that no document makes the parser or the methods of Node panic;
// errors are only reported as findings.
func FuzzParse(f *testing.F) {
	for _, s := range []string{`{"a":[1,{"b":"2s"}],"a":true}`, `{"a":`, `[]x`, "\x00", `{"a":1e999}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var out []berylfinding.Finding
		n := Parse("f", data, &out).Object("a")
		a := n.Field("a")
		_, _, _ = a.Text(""), a.Number(1, 0, 2), a.Bool(true)
		_ = a.Duration(0, 0, 1)
		for _, item := range a.Items() {
			_ = item.RequiredString()
		}
	})
}

// The path of each value was built while those around it were kept, so that a nested document
// took memory by the square of its depth: one of 40 KB took 4 GB.
func TestDeeplyNestedDocumentTakesMuchMemory(t *testing.T) {
	const depth = 10_000 // levels
	for _, tc := range []struct{ name, document string }{
		{"lists", strings.Repeat("[", depth) + strings.Repeat("]", depth)},
		{"lists without an end", strings.Repeat("[", depth)},
		{"objects", strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)},
		{"an entry of a list", `{"workspaces":[{"name":"w","plan":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}]}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var findings []berylfinding.Finding
			n := Parse("f", []byte(tc.document), &findings)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20), "bytes allocated")
			require.False(t, n.Exists())
			require.Len(t, findings, 1)
			require.Contains(t, findings[0].String(), "line 1: nested deeper than")
		})
	}
	t.Run("20 levels are read", func(t *testing.T) {
		var findings []berylfinding.Finding
		n := Parse("f", []byte(strings.Repeat("[", 20)+strings.Repeat("]", 20)), &findings)
		require.True(t, n.Exists())
		require.Empty(t, findings)
	})
}
