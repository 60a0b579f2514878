// Package berylsentids remembers the ids of the requests that were sent on a connection.
//
// A server may send a response once more, at any time, on the connection of its request. The id in a
// response therefore tells which request it answers only if that was sent once on the connection.
package berylsentids

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set holds ids as hashes, so it may report an id that it does not hold, but misses none. The zero
// value is empty.
type Set struct {
	hashes []uint64
}

// Add adds an id.
func (s *Set) Add(id string) { s.hashes = append(s.hashes, xxhash.Sum64String(id)) }

// Contains reports whether an id was added.
func (s *Set) Contains(id string) bool {
	return slices.Contains(s.hashes, xxhash.Sum64String(id))
}
