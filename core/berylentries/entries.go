// Package berylentries splits the two published lists into entries, so that
// daemons can send each other only what changed instead of whole lists.
package berylentries

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Entries maps "array/name" to the compact JSON of the entry. It is immutable once
// built.
type Entries map[string]string

// listArrays returns the names of the arrays in the two lists, each with the field
// that identifies an entry. The first is the only array of the workspaces list;
// the others belong to the plans list.
func listArrays() [4][2]string {
	return [4][2]string{{"workspaces", "name"}, {"zones", "name"}, {"routes", "path"}, {"plans", "name"}}
}

// Split returns the entries of the two lists, which must have passed validation.
func Split(workspaces, plans []byte) (Entries, error) {
	out := Entries{}
	for _, doc := range [][]byte{workspaces, plans} {
		var arrays map[string][]json.RawMessage
		if err := json.Unmarshal(doc, &arrays); err != nil {
			return nil, eris.Wrap(err, "parse list")
		}
		for _, l := range listArrays() {
			if err := out.addArray(l[0], l[1], arrays[l[0]]); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func (e Entries) addArray(array, nameField string, items []json.RawMessage) error {
	for _, item := range items {
		var fields map[string]any
		if err := json.Unmarshal(item, &fields); err != nil {
			return eris.Wrap(err, "parse list entry")
		}
		name, _ := fields[nameField].(string)
		var compact bytes.Buffer
		if err := json.Compact(&compact, item); err != nil {
			return eris.Wrap(err, "compact list entry")
		}
		e[array+"/"+name] = compact.String()
	}
	return nil
}

// Join returns the two lists as JSON documents. The result is deterministic: equal
// entries give equal bytes.
func (e Entries) Join() (workspaces, plans []byte) {
	arrays := map[string][]json.RawMessage{}
	for _, key := range slices.Sorted(maps.Keys(e)) {
		array := key[:bytes.IndexByte([]byte(key), '/')]
		arrays[array] = append(arrays[array], json.RawMessage(e[key]))
	}
	workspacesArray := listArrays()[0][0]
	workspaces, _ = json.Marshal(map[string][]json.RawMessage{workspacesArray: arrays[workspacesArray]})
	delete(arrays, workspacesArray)
	plans, _ = json.Marshal(arrays)
	return workspaces, plans
}

// Digest returns the sum of the hashes of all entries. It does not depend on their
// order and can be updated for single entries, see DigestAfter.
func (e Entries) Digest() uint64 {
	sum := uint64(0)
	for key, value := range e {
		sum += entryHash(key, value)
	}
	return sum
}

// DigestAfter returns the digest of e after applying changes. It takes the digest
// of e, so that only the changed entries are hashed.
func (e Entries) DigestAfter(digest uint64, changes Entries) uint64 {
	for key, value := range changes {
		if old, ok := e[key]; ok {
			digest -= entryHash(key, old)
		}
		if value != "" {
			digest += entryHash(key, value)
		}
	}
	return digest
}

func entryHash(key, value string) uint64 { return xxhash.Sum64String(key + "\x00" + value) }

// Diff returns the changes that turn old into e. An empty value stands for a
// removed entry.
func (e Entries) Diff(old Entries) Entries {
	out := Entries{}
	for key, value := range e {
		if old[key] != value {
			out[key] = value
		}
	}
	for key := range old {
		if _, ok := e[key]; !ok {
			out[key] = ""
		}
	}
	return out
}

// Apply returns a copy of e with the changes of Diff applied.
func (e Entries) Apply(changes Entries) Entries {
	out := maps.Clone(e)
	for key, value := range changes {
		if value == "" {
			delete(out, key)
			continue
		}
		out[key] = value
	}
	return out
}
