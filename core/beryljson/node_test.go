package beryljson

import (
	"testing"

	"berylspan/core/berylfinding"
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
