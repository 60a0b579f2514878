// Package beryljson reads JSON documents and reports all errors in them.
//
// The standard decoder stops at the first error and silently keeps the last of two
// members with the same name; an operator needs all errors of a file in one report.
package beryljson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"berylspan/core/berylfinding"
)

// Node is a value in a parsed document together with its JSON path.
type Node struct {
	value    any
	path     string
	file     string
	findings *[]berylfinding.Finding
}

// Parse parses data, which must be UTF-8. Errors found here or later by the methods of a
// Node are appended to findings. After a syntax error the returned node does not
// exist.
func Parse(file string, data []byte, findings *[]berylfinding.Finding) Node {
	n := Node{file: file, findings: findings}
	if i := invalidUTF8(data); i >= 0 {
		n.AddFinding(fmt.Sprintf("line %d: not UTF-8", 1+bytes.Count(data[:i], []byte("\n"))))
		return n
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	v, err := n.readValue(dec, "", 0)
	if err == nil {
		err = expectEOF(dec)
	}
	if err != nil {
		line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
		n.AddFinding(fmt.Sprintf("line %d: %v", line, err))
		return n
	}
	n.value = v
	return n
}

// invalidUTF8 returns the index of the first byte that is not part of a UTF-8 text, or -1. The
// decoder would replace such bytes.
func invalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return -1
}

// maxDepth bounds the depth of a document in levels. The paths of all levels around a value are
// kept while it is read.
const maxDepth = 32

func expectEOF(dec *json.Decoder) error {
	_, err := dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.New("text after the document")
}

func (n Node) readValue(dec *json.Decoder, path string, depth int) (any, error) {
	t, err := dec.Token()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if _, nested := t.(json.Delim); nested && depth == maxDepth {
		return nil, fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	switch t {
	case json.Delim('{'):
		return n.readObject(dec, path, depth+1)
	case json.Delim('['):
		return n.readArray(dec, path, depth+1)
	}
	return t, nil
}

func (n Node) readObject(dec *json.Decoder, path string, depth int) (any, error) {
	m := map[string]any{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := t.(string)
		memberPath := joinPath(path, name)
		v, err := n.readValue(dec, memberPath, depth)
		if err != nil {
			return nil, err
		}
		if _, duplicate := m[name]; duplicate {
			*n.findings = append(*n.findings, berylfinding.Finding{File: n.file, Path: memberPath, Message: "given twice"})
		}
		m[name] = v
	}
	_, err := dec.Token()
	return m, err
}

func (n Node) readArray(dec *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		v, err := n.readValue(dec, fmt.Sprintf("%s[%d]", path, len(list)), depth)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := dec.Token()
	return list, err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// AddFinding reports an error at the path of this node.
func (n Node) AddFinding(text string) {
	*n.findings = append(*n.findings, berylfinding.Finding{File: n.file, Path: n.path, Message: text})
}

// Exists reports whether the document has a value other than null here.
func (n Node) Exists() bool { return n.value != nil }

// Object checks that the node, if it exists, is an object and that all names of its
// members are known.
func (n Node) Object(known ...string) Node {
	if !n.Exists() {
		return n
	}
	m, ok := n.value.(map[string]any)
	if !ok {
		n.AddFinding("must be an object")
		return Node{file: n.file, path: n.path, findings: n.findings}
	}
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(known, name) {
			n.Field(name).AddFinding("unknown name")
		}
	}
	return n
}

// Field returns the member called name, which may not exist.
func (n Node) Field(name string) Node {
	m, _ := n.value.(map[string]any)
	return Node{value: m[name], path: joinPath(n.path, name), file: n.file, findings: n.findings}
}

// Names returns the sorted names of the members of an object, nil if the node does not exist.
func (n Node) Names() []string {
	if !n.Exists() {
		return nil
	}
	m, ok := n.value.(map[string]any)
	if !ok {
		n.AddFinding("must be an object")
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

// Items returns the elements of an array, nil if the node does not exist.
func (n Node) Items() []Node {
	if !n.Exists() {
		return nil
	}
	list, ok := n.value.([]any)
	if !ok {
		n.AddFinding("must be an array")
		return nil
	}
	nodes := make([]Node, len(list))
	for i, v := range list {
		nodes[i] = Node{value: v, path: fmt.Sprintf("%s[%d]", n.path, i), file: n.file, findings: n.findings}
	}
	return nodes
}

// Text returns the string here, or def if there is no value.
func (n Node) Text(def string) string {
	if !n.Exists() {
		return def
	}
	s, ok := n.value.(string)
	if !ok {
		n.AddFinding("must be a string")
	}
	return s
}

// RequiredString returns the string here, which must exist and not be empty.
func (n Node) RequiredString() string {
	s := n.Text("")
	if _, isString := n.value.(string); s == "" && (isString || !n.Exists()) {
		n.AddFinding("must not be empty")
	}
	return s
}

// Bool returns the boolean here, or def if there is no value.
func (n Node) Bool(def bool) bool {
	if !n.Exists() {
		return def
	}
	b, ok := n.value.(bool)
	if !ok {
		n.AddFinding("must be true or false")
	}
	return b
}

// Number returns the number here, or def if there is no value. It reports anything
// other than a number between low and high and returns def for it.
func (n Node) Number(def, low, high float64) float64 {
	if !n.Exists() {
		return def
	}
	raw, ok := n.value.(json.Number)
	if !ok {
		n.AddFinding("must be a number")
		return def
	}
	v, err := strconv.ParseFloat(raw.String(), 64)
	if err != nil || v < low || v > high {
		n.AddFinding(fmt.Sprintf("must be between %v and %v", low, high))
		return def
	}
	return v
}

// Duration returns the duration here, a string such as "250ms", or def if there is
// no value. It reports anything other than a duration between low and high and
// returns def for it.
func (n Node) Duration(def, low, high time.Duration) time.Duration {
	if !n.Exists() {
		return def
	}
	s, _ := n.value.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		n.AddFinding(fmt.Sprintf("must be a duration between %v and %v", low, high))
		return def
	}
	return d
}
