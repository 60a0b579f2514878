// Package beryldigest represents API keys by their digests, so that the keys
// themselves are never stored, logged or published.
package beryldigest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Digest is the SHA-256 of an API key.
type Digest [sha256.Size]byte

// Of returns the digest of key.
func Of(key string) Digest { return sha256.Sum256([]byte(key)) }

// Parse decodes a digest from 64 hexadecimal digits.
func Parse(s string) (Digest, bool) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}

// Equal compares two digests in constant time.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
