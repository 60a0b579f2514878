package beryldaemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"berylspan/io/berylframe"
	"berylspan/io/berylheader"
)

// copyingBackend is a backend server that speaks HTTP/1.1. It refuses the first nested call of each
// root as not run. If the id of a call comes again on a connection, it first writes a copy of the
// refusal that it wrote there. For a call to "/s.S/Outer" it calls "/s.S/Inner" until that runs, three
// times at most.
type copyingBackend struct {
	fixture *fixture
	local   string

	mu      sync.Mutex
	refused map[string]bool
	ran     map[string]int // nested calls, by root
	broken  int            // nested calls that were refused as not run and ran
}

func (b *copyingBackend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br, copies := bufio.NewReader(c), map[string]string{}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // An error shows in the next read.
		id := r.Header.Get(berylheader.Call)
		copied := copies[id]
		switch {
		case r.URL.Path == "/s.S/Outer":
			b.callInner(id, r.Header.Get(berylheader.Token))
		case b.refuses(id):
			copied = response(id, http.StatusServiceUnavailable, berylheader.Run+": not run\r\n", `{"code":"unavailable"}`)
			copies[id] = copied
			if _, err := io.WriteString(c, copied); err != nil {
				return
			}
			continue
		}
		if _, err := io.WriteString(c, copied+response(id, http.StatusOK, "", "{}")); err != nil {
			return
		}
	}
}

// startHTTP1Backend starts a backend server that serves each connection with serve.
func startHTTP1Backend(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

func response(id string, status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, berylheader.Call, id, header, len(body), body)
}

// refuses reports whether a nested call is the first of its root, and otherwise counts it as run.
func (b *copyingBackend) refuses(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refused[id] {
		b.refused[id] = true
		return true
	}
	b.ran[id]++
	return false
}

func (b *copyingBackend) runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

func (b *copyingBackend) callInner(id, token string) {
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](b.fixture.client, "http://"+b.local+"/s.S/Inner", connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 3 {
		req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: []byte(`{}`)})
		req.Header().Set(berylheader.Token, token)
		before := b.runs(id)
		_, err := c.CallUnary(ctx, req)
		var ce *connect.Error
		if !errors.As(err, &ce) || ce.Meta().Get(berylheader.Run) != "not run" {
			return
		}
		if b.runs(id) != before {
			b.mu.Lock()
			b.broken++
			b.mu.Unlock()
		}
	}
}

// A backend server that was told that its nested call did not run makes it again. The nested calls of
// a root have its id; a copy of the refusal counted for the later one, which then ran twice.
func TestNestedCallThatIsMadeAgainGetsACopyOfItsRefusal(t *testing.T) {
	f := newFixture(t, nil, nil, listed{Path: "/s.S/Outer", Service: "s"}, listed{Path: "/s.S/Inner", Service: "s", Inner: true})
	n := f.add("s1", "s")
	b := &copyingBackend{fixture: f, local: n.set.Local, refused: map[string]bool{}, ran: map[string]int{}}
	n.set.Backend, n.set.HTTP1 = startHTTP1Backend(t, b.serve), true
	f.start()
	f.until("a call runs", func() bool { return f.call(n, "/s.S/Outer", "") == nil })
	const calls = 30
	for range calls {
		require.NoError(t, f.call(n, "/s.S/Outer", ""))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	twice := 0
	for _, runs := range b.ran {
		if runs > 1 {
			twice++
		}
	}
	require.Greater(t, len(b.ran), calls, "roots whose nested call ran")
	require.Zero(t, b.broken+twice, "%d nested calls were refused as not run and ran, %d ran twice, of %d", b.broken, twice, len(b.ran))
}
