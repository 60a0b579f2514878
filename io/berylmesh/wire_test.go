package berylmesh

import (
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// Instances of different builds exchange messages during an upgrade, so a changed
// encoding would break the fleet. The golden files were recorded from commit f700c15.
// Time stands still in the synctest bubble, so the remaining times are exact.
func TestFramesBetweenInstancesKeepTheirEncoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(berylheadernames.Default())
		request := newRequest("id-1")
		request.Header = http.Header{"X-A": {"1", "2"}}
		answered := &berylreply.Reply{
			Outcome: berylattempt.Answered, Status: 201, Header: http.Header{"Beryl-Call": {"id-1"}}, Body: []byte("answer"), Length: 6,
			Busy: 4, Limit: 5, MeanServiceTime: 20 * time.Millisecond, QueueTime: 7 * time.Millisecond, HasLoad: true,
		}
		refused := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonWrongServer)
		refused.RetryAfter, refused.ActualServerID, refused.HasLoad, refused.Header, refused.Length = 70*time.Millisecond, "i-2", true, http.Header{}, 0
		for _, frame := range []struct {
			name  string
			write func(c *conn) error
			want  any
			read  func(c *conn) (any, error)
		}{
			{"request", func(c *conn) error { _, err := m.writeRequest(c, request); return err }, request, func(c *conn) (any, error) { return m.readRequest(c) }},
			{"answered", func(c *conn) error { return m.writeReply(c, request, answered) }, answered, func(c *conn) (any, error) { return m.readReply(c, "id-1") }},
			{"refused", func(c *conn) error { return m.writeReply(c, request, refused) }, refused, func(c *conn) (any, error) { return m.readReply(c, "id-1") }},
		} {
			golden, err := os.ReadFile(filepath.Join("testdata", frame.name+".golden"))
			require.NoError(t, err)
			require.Equal(t, string(golden), hex.EncodeToString(writtenBytes(t, frame.write))+"\n", frame.name)
			bytes, err := hex.DecodeString(strings.TrimSpace(string(golden)))
			require.NoError(t, err)
			near, far := net.Pipe()
			go func() { _, _ = far.Write(bytes) }()
			got, err := frame.read(newConn(near))
			require.NoError(t, err)
			require.Equal(t, frame.want, got, frame.name)
		}
	})
}

// writtenBytes returns what write sends on a new connection.
func writtenBytes(t *testing.T, write func(c *conn) error) []byte {
	t.Helper()
	near, far := net.Pipe()
	sent := make(chan error, 1)
	go func() {
		sent <- write(newConn(near))
		_ = near.Close()
	}()
	var all []byte
	buf := make([]byte, 4096)
	for {
		n, err := far.Read(buf)
		all = append(all, buf[:n]...)
		if err != nil {
			require.NoError(t, <-sent)
			return all
		}
	}
}
