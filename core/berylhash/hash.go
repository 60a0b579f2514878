// Package berylhash ranks instances by rendezvous hashing, so that daemons with the
// same instance list make the same choice without communication.
package berylhash

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the n IDs with the highest score for key, highest first, or all when
// there are fewer.
func Top(n int, key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	ranked := make([]scored, len(ids))
	for i, id := range ids {
		ranked[i] = scored{id: id, score: Score(key, id)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, min(n, len(ranked)))
	for _, s := range ranked[:min(n, len(ranked))] {
		out = append(out, s.id)
	}
	return out
}

// Score returns the rendezvous hash of key and id.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Shard returns the index of the shard, of n, that key belongs to.
func Shard(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// Fraction maps key to a number in [0, 1) that is the same on every daemon.
func Fraction(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}
