package berylpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// server answers every request on its connections with what answer returns; the
// connection ends when more is false.
func server(t *testing.T, answer func(r *http.Request, n int) (raw string, more bool)) (*Pool, *int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	conns := 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns++
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					raw, more := answer(r, n)
					_, _ = io.WriteString(c, raw)
					if !more {
						return
					}
				}
			}()
		}
	}()
	p := New(ln.Addr().String(), berylheadernames.Default())
	t.Cleanup(p.Close)
	return p, &conns
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBeryl-Call: %s\r\nBeryl-Receipt: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *Pool, id string, once bool) *berylreply.Reply {
	h := http.Header{"Beryl-Call": {id}}
	return p.Send(context.Background(), &Request{Method: "GET", URI: "/a?b", Host: "h", ID: id, Header: h, Once: once}, func() {})
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		raw    string
		end    berylattempt.Outcome
		status int
		reason string
	}{
		{"a whole answer", ok("1", "body"), berylattempt.Answered, 200, ""},
		{"a failure of the server", "HTTP/1.1 500 X\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\nContent-Length: 0\r\n\r\n", berylattempt.Answered, 500, ""},
		{"a rejection", "HTTP/1.1 503 X\r\nBeryl-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", berylattempt.Rejected, 503, berylreply.ReasonRejected},
		{"another server", "HTTP/1.1 421 X\r\nBeryl-Actual: i-2\r\nContent-Length: 0\r\n\r\n", berylattempt.Rejected, 421, berylreply.ReasonWrongServer},
		{"no proof of the server", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nContent-Length: 0\r\n\r\n", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"a body that breaks off", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\nContent-Length: 9\r\n\r\npart", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"no answer at all", "", berylattempt.Unknown, 0, berylreply.ReasonConnectionBroken},
		{"bytes that are no answer", "garbage\r\n\r\n", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"an answer that its connection ends", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\nbody", berylattempt.Answered, 200, ""},
		{"an answer to another request first", ok("0", "late") + ok("1", "body"), berylattempt.Answered, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := server(t, func(*http.Request, int) (string, bool) { return c.raw, false })
			out := send(p, "1", false)
			require.Equal(t, c.end, out.Outcome)
			require.Equal(t, c.status, out.Status)
			require.Equal(t, c.reason, out.Reason)
			if c.status == 200 {
				require.Equal(t, "body", string(out.Body))
			}
		})
	}
}

func TestConnectionsAreUsedAgainUnlessBytesAreLeftOver(t *testing.T) {
	p, conns := server(t, func(r *http.Request, _ int) (string, bool) {
		id := r.Header.Get("Beryl-Call")
		if id == "3" {
			return ok(id, "") + ok("9", "nobody's"), true
		}
		return ok(id, ""), true
	})
	for _, id := range []string{"1", "2", "3"} {
		require.Equal(t, berylattempt.Answered, send(p, id, false).Outcome)
	}
	require.Equal(t, 1, *conns)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, berylattempt.Answered, send(p, "4", false).Outcome)
	require.Equal(t, 2, *conns)
}

func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	p, _ := server(t, func(r *http.Request, n int) (string, bool) { return ok(r.Header.Get("Beryl-Call"), ""), n < 1 })
	require.Equal(t, berylattempt.Answered, send(p, "1", true).Outcome)
	require.Equal(t, berylattempt.Answered, send(p, "2", true).Outcome)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, berylattempt.Answered, send(p, "3", true).Outcome)
}

func TestGivingUpClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, c)
			close(gone)
		}
	}()
	p := New(ln.Addr().String(), berylheadernames.Default())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	freed := false
	out := p.Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() { freed = true })
	require.Equal(t, berylattempt.Unknown, out.Outcome)
	require.Equal(t, berylreply.ReasonCanceled, out.Reason)
	require.True(t, freed)
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Fatal("the server was not told")
	}
}

func TestNoServerMeansNotSent(t *testing.T) {
	p := New("127.0.0.1:1", berylheadernames.Default())
	require.Equal(t, berylattempt.Unsent, send(p, "1", true).Outcome)
}
