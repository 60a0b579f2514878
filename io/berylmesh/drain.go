package berylmesh

import (
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

const drainPollInterval = 10 * time.Millisecond

// Drain stops accepting connections and requests, and waits until the replies to all
// requests that were read are written. After timeout it cancels the requests that are being
// handled and waits for another replyTime at most. Every connection ends with a refusal: a
// sender whose request was on its way then knows that it did not run.
func (s *Server) Drain(timeout, replyTime time.Duration) {
	_ = s.ln.Close() // Fails only if it is closed already.
	endWork := time.Now().Add(timeout)
	s.mu.Lock()
	s.draining = true
	for c, r := range s.conns {
		if !r.running {
			_ = c.nc.SetReadDeadline(time.Now()) // Fails only if the connection is closed.
		}
	}
	s.mu.Unlock()
	s.waitUntilDrained(endWork)
	s.mu.Lock()
	s.workEnded = true
	for _, r := range s.conns {
		if r.cancel != nil {
			r.cancel()
		}
	}
	s.mu.Unlock()
	s.waitUntilDrained(endWork.Add(replyTime))
}

func (s *Server) waitUntilDrained(deadline time.Time) {
	for time.Now().Before(deadline) && !s.isDrained() {
		time.Sleep(drainPollInterval)
	}
}

func (s *Server) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0 && !s.accepting
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// beginRequest reports whether the next request may be read.
func (s *Server) beginRequest(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.running = !s.draining
	return r.running
}

func (s *Server) endRequest(r *request) {
	s.mu.Lock()
	r.running = false
	s.mu.Unlock()
}

// setCancel sets the function that cancels the request while it is handled.
func (s *Server) setCancel(r *request, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.cancel = cancel
	if cancel != nil && s.workEnded {
		cancel()
	}
}

// refuseNext refuses a request that may be on its way, and reads no more. A sender that has
// none under way sees that bytes arrive and does not use the connection again.
func (s *Server) refuseNext(c *conn) {
	c.requests++ // The refusal is the reply to the next one.
	s.refuse(c, berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonShuttingDown))
}

// refuse sends a refusal and discards what the sender still sends.
func (s *Server) refuse(c *conn, refusal *berylreply.Reply) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTime)) // Fails only if the connection is closed.
	if s.mesh.writeReply(c, &berylrequest.Request{}, refusal) == nil {
		c.linger()
	}
}
