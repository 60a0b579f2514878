package berylmesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylmemory"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

const attemptField = "X-Attempt"

// runs remembers what the handler did for each attempt.
type runs struct {
	mu   sync.Mutex
	ends map[string]berylattempt.Outcome
}

// handle answers an attempt, at random with each kind of reply, each of which names the attempt.
func (r *runs) handle(ctx context.Context, req *berylrequest.Request) *berylreply.Reply {
	attempt := req.Header.Get(attemptField)
	reply := &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{attemptField: {attempt}, "Beryl-Call": {req.ID}}, Body: []byte(attempt), Length: -1}
	switch rand.IntN(6) { //nolint:gosec // No secret.
	case 0:
		reply = berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
	case 1:
		reply = berylreply.NewFailure(berylattempt.Rejected, berylreply.ReasonRejected)
	case 2:
		reply = berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonConnectionBroken)
	case 3:
		reply.Body, reply.Stream = nil, io.NopCloser(strings.NewReader(strings.Repeat(attempt+" ", 20_000)))
	}
	reply.ActualServerID = attempt
	r.mu.Lock()
	r.ends[attempt] = reply.Outcome
	r.mu.Unlock()
	select {
	case <-time.After(time.Duration(rand.IntN(3)) * time.Millisecond): //nolint:gosec // As above.
	case <-ctx.Done():
	}
	if req.Stream != nil && rand.IntN(2) == 0 { //nolint:gosec // As above.
		_, _ = io.Copy(io.Discard, req.Stream) // The sender may have left.
	}
	return reply
}

// One id is sent again and again on the same connections, while servers stop, have no memory, and
// senders cancel and leave replies unread. No reply may be taken for that of another attempt.
func TestReplyIsThatOfItsAttempt(t *testing.T) {
	const rounds, senders = 12, 4
	r := &runs{ends: map[string]berylattempt.Outcome{}}
	m := New(berylheadernames.Default(), Memory(berylmemory.New(berylmemorybudget.Limits{Total: 96 << 10}), func() {}))
	t.Cleanup(m.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	type unsent struct{ attempt, namedBy string }
	var mu sync.Mutex
	var refused []unsent
	counts := map[berylattempt.Outcome]int{}
	for round := range rounds {
		if round > 0 { // Servers stop and start again at the address.
			ln, err = net.Listen("tcp", addr)
			require.NoError(t, err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		s := m.NewServer(ln, r.handle)
		stopped := make(chan struct{})
		go func() { s.Run(ctx); close(stopped) }()
		var done sync.WaitGroup
		var ended atomic.Bool
		for sender := range senders {
			done.Go(func() {
				for i := 0; !ended.Load(); i++ {
					attempt := fmt.Sprintf("%d-%d-%d", round, sender, i)
					reply, body := sendAttempt(m, addr, attempt)
					mu.Lock()
					counts[reply.Outcome]++
					switch reply.Outcome {
					case berylattempt.Answered:
						if reply.Header.Get(attemptField) != attempt || (body != "" && !strings.HasPrefix(strings.Repeat(attempt+" ", 20_000), body)) {
							t.Errorf("attempt %s got the reply of attempt %s", attempt, reply.Header.Get(attemptField))
						}
					case berylattempt.Unsent, berylattempt.Rejected:
						refused = append(refused, unsent{attempt, reply.ActualServerID})
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(60 * time.Millisecond)
		s.Drain(20*time.Millisecond, 20*time.Millisecond)
		ended.Store(true)
		done.Wait()
		cancel()
		s.Close()
		<-stopped
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	own := 0
	for _, u := range refused {
		end, handled := r.ends[u.attempt]
		if u.namedBy != "" {
			own++
			require.Equal(t, u.attempt, u.namedBy)
			continue
		}
		require.False(t, handled, "attempt %s was handled, with outcome %s, and reported as not run", u.attempt, end)
	}
	t.Logf("%d answered, %d rejected, %d unsent, %d unknown; %d refused by their handler", counts[berylattempt.Answered], counts[berylattempt.Rejected], counts[berylattempt.Unsent], counts[berylattempt.Unknown], own)
	require.Greater(t, counts[berylattempt.Answered], rounds)
}

// sendAttempt sends a request that always has the same id. It returns what was read of the body,
// at times only a part.
func sendAttempt(m *Mesh, addr, attempt string) (*berylreply.Reply, string) {
	req := newRequest("same")
	req.Header.Set(attemptField, attempt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	switch rand.IntN(5) { //nolint:gosec // No secret.
	case 0:
		req.Body = make([]byte, 50<<10)
		req.Length = int64(len(req.Body))
	case 1:
		req.Stream, req.Length = bytes.NewReader(make([]byte, 100<<10)), -1
	case 2:
		time.AfterFunc(time.Duration(rand.IntN(2000))*time.Microsecond, cancel) //nolint:gosec // As above.
	}
	reply := m.Send(ctx, addr, req)
	defer reply.Close()
	if reply.Stream == nil {
		return reply, string(reply.Body)
	}
	time.Sleep(time.Duration(rand.IntN(2)) * time.Millisecond) //nolint:gosec // As above.
	limit := int64(1 << 30)
	if rand.IntN(2) == 0 { //nolint:gosec // As above.
		limit = 1000
	}
	body, _ := io.ReadAll(io.LimitReader(reply.Reader(), limit)) // The server may stop meanwhile.
	return reply, string(body)
}
