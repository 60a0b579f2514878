package berylconnpool

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// startEndlessServer starts a server that answers the first request of each connection with
// prefix and then filler, without end, and reports when the client closes the connection.
func startEndlessServer(t *testing.T, prefix, filler string) (p *Pool, closed chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	closed = make(chan struct{}, 16)
	block := []byte(strings.Repeat(filler, 1+(32<<10)/len(filler)))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, err := io.WriteString(c, prefix)
				for err == nil {
					_, err = c.Write(block)
				}
				closed <- struct{}{}
			}()
		}
	}()
	p = New(ln.Addr().String(), berylheadernames.Default())
	t.Cleanup(p.Close)
	return p, closed
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	otherHead   = "HTTP/1.1 200 OK\r\nBeryl-Call: 2\r\nBeryl-Receipt: x\r\n"
)

// A backend server that sends bytes without end made the daemon use up to 2.1 GB for one
// request, and the call returned seconds after its context had ended.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const (
		timeout  = 500 * time.Millisecond
		maxDelay = 100 * time.Millisecond // after the timeout
		maxHeap  = 16 << 20               // bytes above idle, with all cases at once
	)
	cases := []struct {
		name, prefix, filler string
		outcome              berylattempt.Outcome
		reason               string
	}{
		{"before the status line", "", "x", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"empty lines", "", "\r\n", berylattempt.Unknown, berylreply.ReasonMalformed},
		{"status line", "HTTP/1.1 200 ", "x", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"one header field", "HTTP/1.1 200 OK\r\nX-Filler: ", "a", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"interim header", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", berylattempt.Unknown, berylreply.ReasonMalformed},
		{"body of another answer", otherHead + "Content-Length: 9000000000000\r\n\r\n", "a", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"chunks of another answer", otherHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 0x1000) + "\r\n", berylattempt.Unknown, berylreply.ReasonOverlong},
		{"chunk extension", chunkedHead + "1;", "a", berylattempt.Unknown, berylreply.ReasonMalformed},
		{"trailers", chunkedHead + "1\r\na\r\n0\r\n", "X-Filler: a\r\n", berylattempt.Unknown, berylreply.ReasonMalformed},
		{"after the answer", okHead + "Content-Length: 2\r\n\r\nok", "a", berylattempt.Answered, ""},
		{"body of a rejection", "HTTP/1.1 503 X\r\nBeryl-Not-Run: 1\r\nContent-Length: 9000000000000\r\n\r\n", "a", berylattempt.Rejected, berylreply.ReasonRejected},
	}
	type result struct {
		pool   *Pool
		reply  *berylreply.Reply
		took   time.Duration
		closed chan struct{}
	}
	results := make([]result, len(cases))
	var calls sync.WaitGroup
	runtime.GC()
	idle := heapInUse()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		highest := idle
		for {
			select {
			case <-stop:
				peak <- highest
				return
			case <-time.After(5 * time.Millisecond):
				highest = max(highest, heapInUse())
			}
		}
	}()
	for i, tc := range cases {
		p, closed := startEndlessServer(t, tc.prefix, tc.filler)
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			start := time.Now()
			reply := p.Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
			results[i] = result{p, reply, time.Since(start), closed}
		})
	}
	calls.Wait()
	close(stop)
	require.Less(t, int64(<-peak)-int64(idle), int64(maxHeap), "heap above idle") //nolint:gosec // Far below the limit.
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := results[i]
			require.Equal(t, tc.outcome, r.reply.Outcome)
			require.Equal(t, tc.reason, r.reply.Reason)
			require.Less(t, r.took, timeout+maxDelay)
			require.Eventually(t, func() bool {
				r.pool.EvictIdle() // The daemon calls it with each heartbeat.
				return len(r.closed) > 0
			}, time.Second, 50*time.Millisecond, "the connection was not closed")
		})
	}
}

// A body that answers the request may be as long as it likes. It is passed on without
// being kept.
func TestLongAnswerIsStreamed(t *testing.T) {
	const length = 64 << 20
	p, _ := startEndlessServer(t, okHead+"Content-Length: 67108864\r\n\r\n", "a")
	runtime.GC()
	idle := heapInUse()
	reply := p.Send(context.Background(), &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
	require.Equal(t, berylattempt.Answered, reply.Outcome)
	highest, n, buf, r := idle, 0, make([]byte, 32<<10), reply.Reader()
	for i := 0; ; i++ {
		k, err := r.Read(buf)
		n += k
		if i%100 == 0 {
			highest = max(highest, heapInUse())
		}
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			break
		}
	}
	require.Equal(t, length, n)
	require.Less(t, int64(highest)-int64(idle), int64(4<<20)) //nolint:gosec // Far below the limit.
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against an answer without end that is not read any more, of which the kernel keeps
// megabytes for each connection.
func TestUnreadAnswerFillsTheMemoryOfTheSystem(t *testing.T) {
	const (
		readBytes = 256 << 20 // read at full speed, so that the kernel lets its buffer grow
		maxUnread = 700 << 10 // bytes; 284 MB of a machine for 398 requests that run at once
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var written atomic.Int64
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10) // What the server holds doesn't count.
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		_, err = io.WriteString(c, okHead+"\r\n")
		for block := make([]byte, 64<<10); err == nil; {
			n := 0
			n, err = c.Write(block)
			written.Add(int64(n))
		}
	}()
	p := New(ln.Addr().String(), berylheadernames.Default())
	t.Cleanup(p.Close)
	reply := p.Send(context.Background(), &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
	defer reply.Close()
	require.Equal(t, berylattempt.Answered, reply.Outcome)
	n, err := io.CopyN(io.Discard, reply.Reader(), readBytes)
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond) // The server writes until nothing more is taken.
	require.Less(t, written.Load()-n, int64(maxUnread), "bytes that were taken from the server and not read")
}
