package berylconnpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylattempt"

	"github.com/stretchr/testify/require"
)

const sendField = "X-Send"

// copier is a server that refuses half of what it gets, and writes copies of earlier responses on
// their connection at any time.
type copier struct {
	mu    sync.Mutex
	ran   map[string]bool // by send
	sent  map[net.Conn]map[string]bool
	twice int // ids that came twice on a connection
}

// response returns the response to a request, and whether the request runs. It is empty if the
// connection is to be closed.
func (s *copier) response(random *rand.Rand, id, send string) (res string, runs bool) {
	switch random.IntN(16) {
	case 0, 1, 2:
		return errorAnswer(503, id, notRun), false
	case 3:
		return errorAnswer(429, id, notRun), false
	case 4:
		return errorAnswer(421, id, ""), false
	case 5:
		return "HTTP/1.1 503 X\r\nBeryl-Call: " + id + "\r\n" + notRun + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false
	case 6:
		return "HTTP/1.1 503 X\r\n" + notRun + "Content-Length: 4\r\n\r\nbody", false
	case 7:
		return "HTTP/1.1 103 X\r\nBeryl-Call: " + id + "\r\n" + notRun + "\r\n" + okAnswer(id, send), true
	case 8:
		return "HTTP/1.1 500 X\r\nBeryl-Call: " + id + "\r\nBeryl-Receipt: x\r\nContent-Length: " + fmt.Sprint(len(send)) + "\r\n\r\n" + send, true
	case 9:
		return "", random.IntN(2) == 0
	case 10:
		return errorAnswer(503, id, ""), true
	}
	return okAnswer(id, send), true
}

func (s *copier) serve(c net.Conn, random *rand.Rand) {
	br := bufio.NewReader(c)
	var writing sync.Mutex
	var earlier []string
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text) // The pool may have closed the connection.
	}
	some := func() string {
		if len(earlier) == 0 || random.IntN(2) == 0 {
			return ""
		}
		return earlier[len(earlier)-1-random.IntN(min(len(earlier), 3))]
	}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id, send := r.Header.Get("Beryl-Call"), r.Header.Get(sendField)
		early := random.IntN(4) == 0
		if !early {
			_, _ = io.Copy(io.Discard, r.Body) // An error shows in the next read.
		}
		res, runs := s.response(random, id, send)
		s.mu.Lock()
		if s.sent[c] == nil {
			s.sent[c] = map[string]bool{}
		}
		if s.sent[c][id] {
			s.twice++
		}
		s.sent[c][id] = true
		s.ran[send] = runs
		s.mu.Unlock()
		if res == "" {
			return
		}
		write(some() + res + some())
		if late := some(); late != "" {
			time.AfterFunc(time.Duration(random.IntN(400))*time.Microsecond, func() { write(late) })
		}
		earlier = append(earlier, res)
		if early {
			_, _ = io.Copy(io.Discard, r.Body) // As above.
		}
	}
}

// Guards against a response that counts for another send than its own, in any order of copies,
// interim responses, bodies that are not read, cancellations and closed connections.
func TestResponseCountsForAnotherSend(t *testing.T) {
	const ids, sendsPerID, workers = 500, 6, 8
	s := &copier{ran: map[string]bool{}, sent: map[net.Conn]map[string]bool{}}
	p := startRawServer(t, func(c net.Conn) {
		s.serve(c, rand.New(rand.NewPCG(rand.Uint64(), 1))) //nolint:gosec // No secret.
	})
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[berylattempt.Outcome]int{}
	var wrong []string
	for w := range workers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(w), 2)) //nolint:gosec // Reproducible.
			for i := range next {
				for n := range sendsPerID {
					id, name := fmt.Sprint("id", i), fmt.Sprintf("send %d of %d", n, i)
					r := &Request{Method: http.MethodPost, URI: "/", Host: "h", ID: id, Header: http.Header{"Beryl-Call": {id}, sendField: {name}}, NonIdempotent: random.IntN(4) > 0}
					switch random.IntN(4) {
					case 0:
						r.Body, r.Length = []byte("hello"), 5
					case 1:
						r.Body, r.Length = []byte("hello"), -1
					case 2:
						r.Body, r.Stream, r.Length = []byte("hello"), strings.NewReader(strings.Repeat("x", 20<<10)), -1
					}
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					if random.IntN(8) == 0 {
						time.AfterFunc(time.Duration(random.IntN(300))*time.Microsecond, cancel)
					}
					done := make(chan struct{})
					reply := p.Send(ctx, r, func() { close(done) })
					<-done
					cancel()
					s.mu.Lock()
					ran := s.ran[name]
					s.mu.Unlock()
					mu.Lock()
					counts[reply.Outcome]++
					switch reply.Outcome {
					case berylattempt.Rejected, berylattempt.Unsent:
						if ran {
							wrong = append(wrong, name+" ran: "+reply.Outcome.String())
						}
					case berylattempt.Answered:
						if string(reply.Body) != name {
							wrong = append(wrong, name+" got the answer "+string(reply.Body))
						}
					}
					mu.Unlock()
				}
			}
		})
	}
	for i := range ids {
		next <- i
	}
	close(next)
	wg.Wait()
	require.Empty(t, wrong)
	require.Zero(t, s.twice, "ids sent twice on a connection")
	require.Greater(t, counts[berylattempt.Rejected], ids, "%v", counts)
	require.Greater(t, counts[berylattempt.Answered], ids, "%v", counts)
}
