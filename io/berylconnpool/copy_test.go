package berylconnpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"

	"github.com/stretchr/testify/require"
)

// A refused request is sent again, and the copy of its refusal arrives around its answer. It was
// reported as not run although it ran.
func TestCopyOfARefusalIsTakenForTheRefusalOfTheNextAttempt(t *testing.T) {
	refusals := []struct{ name, refusal string }{
		{"503", errorAnswer(503, "1", notRun)},
		{"429", errorAnswer(429, "1", notRun)},
		{"400", errorAnswer(400, "1", notRun)},
		{"421", errorAnswer(421, "1", "")},
		{"503 in chunks", "HTTP/1.1 503 X\r\nBeryl-Call: 1\r\n" + notRun + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	}
	orders := []struct {
		name          string
		before, after int           // copies around the answer
		idle          time.Duration // a copy comes so long after the refusal, 0 for none
		others        int           // requests with other ids between the attempts
	}{
		{name: "copy before the answer", before: 1},
		{name: "two copies before the answer", before: 2},
		{name: "copy after the answer", after: 1},
		{name: "copies before and after the answer", before: 1, after: 1},
		{name: "copy while the connection is idle", idle: 20 * time.Microsecond},
		{name: "copy before the answer, other requests in between", before: 1, others: 3},
	}
	bodies := []struct {
		name string
		set  func(r *Request)
	}{
		{"no body", func(*Request) {}},
		{"body with a length", func(r *Request) { r.Body, r.Length = []byte("hello"), 5 }},
		{"body in chunks", func(r *Request) { r.Body, r.Length = []byte("hello"), -1 }},
		{"streamed body in chunks", func(r *Request) {
			r.Body, r.Stream, r.Length = []byte("hello"), strings.NewReader(strings.Repeat("x", 100<<10)), -1
		}},
	}
	for _, rf := range refusals {
		for _, order := range orders {
			for _, body := range bodies {
				t.Run(rf.name+"/"+order.name+"/"+body.name, func(t *testing.T) {
					var refusedOn atomic.Pointer[net.Conn]
					var ran atomic.Int32
					p := startRawServer(t, func(c net.Conn) {
						serveAttempts(c, func(r *http.Request) string {
							id := r.Header.Get("Beryl-Call")
							if id != "1" {
								return okAnswer(id, "other")
							}
							if refusedOn.CompareAndSwap(nil, &c) {
								if order.idle > 0 {
									time.AfterFunc(order.idle, func() { _, _ = io.WriteString(c, rf.refusal) }) // The pool may have closed the connection.
								}
								return rf.refusal
							}
							ran.Add(1)
							before, after := strings.Repeat(rf.refusal, order.before), strings.Repeat(rf.refusal, order.after)
							if first := *refusedOn.Load(); first != c {
								_, _ = io.WriteString(first, before+after) // As above.
								return okAnswer("1", "own")
							}
							return before + okAnswer("1", "own") + after
						})
					})
					attempt := func(id string) *Request {
						r := &Request{Method: http.MethodPost, URI: "/", Host: "h", ID: id, Header: http.Header{"Beryl-Call": {id}}, NonIdempotent: true}
						body.set(r)
						return r
					}
					require.Equal(t, berylattempt.Rejected, p.Send(context.Background(), attempt("1"), func() {}).Outcome)
					for i := range order.others {
						require.NotEqual(t, berylattempt.Rejected, p.Send(context.Background(), attempt(fmt.Sprint("other", i)), func() {}).Outcome)
					}
					reply := p.Send(context.Background(), attempt("1"), func() {})
					require.EqualValues(t, 1, ran.Load())
					require.Equal(t, berylattempt.Answered, reply.Outcome, "the request ran")
					require.Equal(t, "own", string(reply.Body))
				})
			}
		}
	}
}

// serveAttempts answers each request of a connection, once it has read the whole of it.
func serveAttempts(c net.Conn, answer func(r *http.Request) string) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // An error shows in the next read.
		if _, err := io.WriteString(c, answer(r)); err != nil {
			return
		}
	}
}
