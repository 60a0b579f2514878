package berylconnpool

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

func errorAnswer(status int, id, more string) string {
	if id != "" {
		more += "Beryl-Call: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 4\r\n\r\nbody", status, more)
}

const (
	notRun  = "Beryl-Not-Run: 1\r\n"
	receipt = "Beryl-Receipt: x\r\n"
)

// A server repeats an earlier refusal on a kept connection, just before the answer to a request
// that it runs. The request was reported as not run.
func TestEarlierRefusalIsTakenForTheNextRequest(t *testing.T) {
	for _, tc := range []struct{ name, first, again string }{
		{"503 with its id", errorAnswer(503, "1", notRun), errorAnswer(503, "1", notRun)},
		{"503 that has lost its id", errorAnswer(503, "1", notRun), errorAnswer(503, "", notRun)},
		{"503 without id", errorAnswer(503, "", notRun), errorAnswer(503, "", notRun)},
		{"400 without id", errorAnswer(400, "", notRun), errorAnswer(400, "", notRun)},
		{"400 without id after an answer with id", okAnswer("1", "x"), errorAnswer(400, "", notRun)},
		{"429 without id after an answer with id", okAnswer("1", "x"), errorAnswer(429, "", notRun)},
		{"421 with its id", errorAnswer(421, "1", ""), errorAnswer(421, "1", "")},
		{"421 that has lost its id", errorAnswer(421, "1", ""), errorAnswer(421, "", "")},
		{"421 without id", errorAnswer(421, "", ""), errorAnswer(421, "", "")},
		{"500 that has lost its id", errorAnswer(500, "1", ""), errorAnswer(500, "", "")},
		{"404 without id", errorAnswer(404, "", ""), errorAnswer(404, "", "")},
	} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/non-idempotent %v", tc.name, nonIdempotent), func(t *testing.T) {
				var ran atomic.Int32
				p, _ := startServer(t, func(r *http.Request, n int) (string, bool) {
					if id := r.Header.Get("Beryl-Call"); id != "1" {
						ran.Add(1)
						answer := okAnswer(id, "own")
						if n > 0 {
							answer = tc.again + answer
						}
						return answer, true
					}
					return tc.first, true
				})
				send(p, "1", nonIdempotent)
				for _, id := range []string{"2", "3"} {
					reply := send(p, id, nonIdempotent)
					require.NotZero(t, ran.Swap(0))
					require.NotEqual(t, berylattempt.Rejected, reply.Outcome, "request %s ran", id)
					require.NotEqual(t, berylattempt.Unsent, reply.Outcome, "request %s ran", id)
					if reply.Outcome == berylattempt.Answered {
						require.Equal(t, "own", string(reply.Body))
					} else {
						require.Equal(t, berylreply.ReasonNoID, reply.Reason)
					}
				}
			})
		}
	}
}

// startRawServer starts a server that handles each connection with serve, and returns a pool for
// it.
func startRawServer(t *testing.T, serve func(c net.Conn)) *Pool {
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
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	p := New(ln.Addr().String(), berylheadernames.Default())
	t.Cleanup(p.Close)
	return p
}

// As above, with copies that come at any time around the next request.
func TestEarlierRefusalComesAtAnyTime(t *testing.T) {
	const requests = 400
	random := rand.New(rand.NewPCG(27, 1)) //nolint:gosec // Reproducible.
	ran := make([]atomic.Bool, requests)
	p := startRawServer(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("Beryl-Call")
			n, err := strconv.Atoi(id)
			if err != nil {
				return
			}
			if n%2 == 0 {
				_, _ = io.WriteString(c, errorAnswer(503, id, notRun)) // The pool may have closed the connection.
				time.AfterFunc(time.Duration(n)*time.Microsecond, func() { _, _ = io.WriteString(c, errorAnswer(503, "", notRun)) })
				continue
			}
			ran[n].Store(true)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, okAnswer(id, "own")) // As above.
		}
	})
	answered := 0
	for n := range requests {
		reply := send(p, fmt.Sprint(n), true)
		switch reply.Outcome {
		case berylattempt.Rejected, berylattempt.Unsent:
			require.False(t, ran[n].Load(), "request %d ran and was reported as not run", n)
		case berylattempt.Answered:
			require.Equal(t, "own", string(reply.Body))
			answered++
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Microsecond)
	}
	require.Greater(t, answered, requests/4)
}
