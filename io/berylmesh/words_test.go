package berylmesh

import (
	"encoding/hex"
	"net"
	"strings"
	"testing"

	"berylspan/core/berylheadernames"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// What newer builds add to a message arrives, and older messages lack it.
func TestAddedWordsOfMessage(t *testing.T) {
	m := New(berylheadernames.Default())
	for _, tc := range []struct {
		name   string
		change func(r *berylrequest.Request)
	}{
		{"nothing added", func(*berylrequest.Request) {}},
		{"limit of a cold server", func(r *berylrequest.Request) { r.ColdPerSecond = 12.5 }},
		{"limit that the server named", func(r *berylrequest.Request) { r.ServerLimited, r.ServerLimit = true, 7 }},
		{"both", func(r *berylrequest.Request) { r.ServerLimited, r.ServerLimit, r.ColdPerSecond = true, 7, 12.5 }},
		{"fingerprint of a streamed body", func(r *berylrequest.Request) {
			r.Stream, r.Length, r.StreamFingerprint = strings.NewReader("rest"), -1, 0xfedcba9876543210
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := newRequest("id-1")
			tc.change(req)
			written := writtenBytes(t, func(c *conn) error { _, err := m.writeRequest(c, req); return err })
			near, far := net.Pipe()
			go func() { _, _ = far.Write(written) }()
			got, err := m.readRequest(newConn(near))
			require.NoError(t, err, hex.EncodeToString(written))
			require.Equal(t, req.ServerID, got.ServerID)
			require.Equal(t, req.ServerStartMs, got.ServerStartMs)
			require.Equal(t, req.ServerLimited, got.ServerLimited)
			require.Equal(t, req.ServerLimit, got.ServerLimit)
			require.Equal(t, req.ColdPerSecond, got.ColdPerSecond)
			require.Equal(t, req.StreamFingerprint, got.StreamFingerprint)
			require.WithinDuration(t, req.Deadline, got.Deadline, 100e6)
			require.WithinDuration(t, req.TargetTime, got.TargetTime, 100e6)
		})
	}
}
