package beryldaemon

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"berylspan/core/berylrefusal"
	"berylspan/io/berylheader"
)

func TestDiscardedResponsesAreCounted(t *testing.T) {
	f := newFixture(t, nil, nil, listed{Path: "/s.S/Do", Service: "s"})
	n := f.add("s1", "s")
	var wrong atomic.Bool
	n.set.Backend = startHTTP1Backend(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // An error shows in the next read.
			res := response(r.Header.Get(berylheader.Call), http.StatusOK, "", "{}")
			if wrong.CompareAndSwap(true, false) {
				res = response("another", http.StatusServiceUnavailable, berylheader.Run+": not run\r\n", `{"code":"unavailable"}`)
			}
			if _, err := io.WriteString(c, res); err != nil {
				return
			}
		}
	})
	n.set.HTTP1 = true
	f.start()
	f.until("a call runs", func() bool { return f.call(n, "/s.S/Do", "") == nil })
	wrong.Store(true)
	var ce *connect.Error
	require.True(t, errors.As(f.call(n, "/s.S/Do", ""), &ce))
	require.Equal(t, berylrefusal.Answer, ce.Meta().Get(berylheader.Reason))
	require.Equal(t, "unknown", ce.Meta().Get(berylheader.Run))
	require.NoError(t, f.call(n, "/s.S/Do", ""))

	res, err := http.Get("http://" + n.set.Local + "/metrics")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	metrics, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(metrics), `berylspan_discarded_responses_total{kind="other request",rejection="true"} 1`)
}
