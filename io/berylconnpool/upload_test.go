package berylconnpool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylupload"

	"github.com/stretchr/testify/require"
)

// uploadServer refuses the first request after the first part of its body and reads on. It runs
// the others.
type uploadServer struct {
	mu      sync.Mutex
	refusal string
	rest    []byte // what came on the connection of the refusal after it
	ended   bool   // that connection has ended
	conns   int
	bodies  []string // of requests that ran
	refused net.Conn // on which a copy of the refusal is sent before the answer
}

func (s *uploadServer) serve(c net.Conn) {
	s.mu.Lock()
	s.conns++
	first := s.conns == 1
	if first {
		s.refused = c
	}
	s.mu.Unlock()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if first {
			_, _ = io.CopyN(io.Discard, r.Body, 5)
			_, _ = io.WriteString(c, s.refusal)
			// The raw bytes are what a server that keeps the connection takes for the rest.
			rest, _ := io.ReadAll(io.MultiReader(br, c))
			s.mu.Lock()
			s.rest, s.ended = rest, true
			s.mu.Unlock()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		_, _ = io.WriteString(s.refused, s.refusal) // The pool has closed that connection.
		_, _ = io.WriteString(c, okAnswer(r.Header.Get("Beryl-Call"), "own"))
	}
}

// A server refuses an upload whose body is still on its way. The rest must reach nobody as
// something else, and the next attempt must send the whole body on a connection of its own.
func TestUploadThatIsRefusedEarlyIsSentOnceMore(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	for _, refusal := range []struct{ name, raw string }{
		{"503", errorAnswer(503, "1", notRun)},
		{"503 without id", errorAnswer(503, "", notRun)},
		{"429 that closes", errorAnswer(429, "1", notRun+"Connection: close\r\n")},
		{"421", errorAnswer(421, "1", "")},
		{"503 twice", errorAnswer(503, "1", notRun) + errorAnswer(503, "1", notRun)},
	} {
		for _, length := range []int64{-1, int64(len(body))} {
			for _, late := range []bool{false, true} { // whether the end of the body comes after the refusal
				t.Run(fmt.Sprintf("%s/length %d/late %v", refusal.name, length, late), func(t *testing.T) {
					s := &uploadServer{refusal: refusal.raw}
					p := startRawServer(t, s.serve)
					src, end := io.Pipe()
					wait := make(chan struct{})
					go func() {
						_, _ = end.Write(body[:len(body)/2])
						if late {
							<-wait
						}
						_, _ = end.Write(body[len(body)/2:])
						_ = end.Close()
					}()
					u := berylupload.New(src)
					attempt := func() *Request {
						stream, ok := u.Attempt()
						require.True(t, ok)
						return &Request{Method: http.MethodPost, URI: "/", Host: "h", ID: "1", Header: http.Header{"Beryl-Call": {"1"}}, Stream: stream, Length: length, NonIdempotent: true}
					}
					require.Equal(t, berylattempt.Rejected, p.Send(context.Background(), attempt(), func() {}).Outcome)
					close(wait)
					reply := p.Send(context.Background(), attempt(), func() {})
					require.Equal(t, berylattempt.Answered, reply.Outcome)
					require.Equal(t, "own", string(reply.Body))
					p.Close()
					require.Eventually(t, func() bool {
						s.mu.Lock()
						defer s.mu.Unlock()
						return s.ended
					}, time.Second, time.Millisecond)
					s.mu.Lock()
					defer s.mu.Unlock()
					require.Equal(t, []string{string(body)}, s.bodies, "it ran once, with its whole body")
					require.Equal(t, 2, s.conns)
					require.NotContains(t, string(s.rest), "HTTP/1.1", "another request where the rest of the body is due")
					if late && length < 0 {
						require.NotContains(t, string(s.rest), "0\r\n\r\n", "the end of a body of which a part was sent")
					}
				})
			}
		}
	}
}
