// Package berylsentids remembers the ids of the requests that were sent on a connection.
//
// A server may send a response once more, at any time, on the connection of its request. The id in a
// response therefore tells which request it answers only if that was sent once on the connection.
// Under overload this matters most: requests that servers refused are sent again at once, with the
// same id, often to the same server.
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

// maxIDs is the number of ids that a full set holds, 8 KB.
const maxIDs = 1024

// Full reports whether no more ids are to be added: the connection is to be closed.
func (s *Set) Full() bool { return len(s.hashes) >= maxIDs }

// Add adds an id.
func (s *Set) Add(id string) { s.hashes = append(s.hashes, xxhash.Sum64String(id)) }

// Contains reports whether an id was added.
func (s *Set) Contains(id string) bool {
	return slices.Contains(s.hashes, xxhash.Sum64String(id))
}
