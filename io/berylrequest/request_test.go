package berylrequest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An upload in chunks that ended its servers was taken for every other one to its path, and cleared by their answers.
func TestStreamedBodiesHaveFingerprintsOfTheirOwn(t *testing.T) {
	upload := func(first string) *Request {
		r := &Request{Method: "POST", URI: "/up", Host: "h", Workspace: "w", Body: []byte(first), Stream: strings.NewReader("rest"), Length: -1}
		r.StreamFingerprint = r.Fingerprint()
		return r
	}
	require.Equal(t, upload("a").Fingerprint(), upload("a").Fingerprint())
	require.NotEqual(t, upload("a").Fingerprint(), upload("b").Fingerprint())
	arrived := upload("a")
	arrived.Body = nil // At another instance all of the body is streamed.
	require.Equal(t, upload("a").Fingerprint(), arrived.Fingerprint())
}
