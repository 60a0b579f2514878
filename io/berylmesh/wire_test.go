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
	"berylspan/core/berylnames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// Instances of different builds run in one fleet during an upgrade. The golden
// files were recorded from commit f700c15. Time stands still in the bubble, so
// the remaining times are exact.
func TestFramesBetweenInstancesKeepTheirEncoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(berylnames.Default())
		request := work("id-1")
		request.Header = http.Header{"X-A": {"1", "2"}}
		answered := &berylreply.Reply{
			Outcome: berylattempt.Answered, Status: 201, Header: http.Header{"Beryl-Call": {"id-1"}}, Body: []byte("answer"), Length: 6,
			Busy: 4, Limit: 5, MeanServiceTime: 20 * time.Millisecond, QueueTime: 7 * time.Millisecond, HasLoad: true,
		}
		refused := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonWrongServer)
		refused.RetryAfter, refused.ActualServerID, refused.HasLoad, refused.Header, refused.Length = 70*time.Millisecond, "i-2", true, http.Header{}, 0
		for _, frame := range []struct {
			name string
			send func(l *lane) error
			want any
			read func(l *lane) (any, error)
		}{
			{"request", func(l *lane) error { return m.ask(l, request) }, request, func(l *lane) (any, error) { return m.work(l) }},
			{"answered", func(l *lane) error { return m.answer(l, request, answered) }, answered, func(l *lane) (any, error) { return m.reply(l, "id-1") }},
			{"refused", func(l *lane) error { return m.answer(l, request, refused) }, refused, func(l *lane) (any, error) { return m.reply(l, "id-1") }},
		} {
			golden, err := os.ReadFile(filepath.Join("testdata", frame.name+".golden"))
			require.NoError(t, err)
			require.Equal(t, string(golden), hex.EncodeToString(sentBytes(t, frame.send))+"\n", frame.name)
			bytes, err := hex.DecodeString(strings.TrimSpace(string(golden)))
			require.NoError(t, err)
			near, far := net.Pipe()
			go func() { _, _ = far.Write(bytes) }()
			got, err := frame.read(newLane(near))
			require.NoError(t, err)
			require.Equal(t, frame.want, got, frame.name)
		}
	})
}

// sentBytes returns what send writes to a fresh connection.
func sentBytes(t *testing.T, send func(l *lane) error) []byte {
	t.Helper()
	near, far := net.Pipe()
	sent := make(chan error, 1)
	go func() {
		sent <- send(newLane(near))
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
