package berylmesh

import (
	"context"
	"net"
	"sync"
	"time"

	"berylspan/io/berylprobe"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

// Server takes work from other instances on one listener.
type Server struct {
	mesh *Mesh
	ln   net.Listener
	run  func(ctx context.Context, w *berylrequest.Request) *berylreply.Reply

	mu    sync.Mutex
	lanes map[*lane]struct{}
	wg    sync.WaitGroup
}

const (
	watchAfter  = 100 * time.Millisecond // work that takes longer is watched for an asker that has left
	watchEvery  = 150 * time.Millisecond
	acceptPause = 5 * time.Millisecond // after a failed accept, such as too many open files
)

// Serve returns a server that passes work to run once Run is called.
func (m *Mesh) Serve(ln net.Listener, run func(ctx context.Context, w *berylrequest.Request) *berylreply.Reply) *Server {
	return &Server{mesh: m, ln: ln, run: run, lanes: map[*lane]struct{}{}}
}

// Run accepts lanes until the listener is closed.
func (s *Server) Run(ctx context.Context) {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		l := newLane(nc)
		s.mu.Lock()
		s.lanes[l] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(ctx, l)
			l.close()
			s.mu.Lock()
			delete(s.lanes, l)
			s.mu.Unlock()
		})
	}
}

// Close ends the listener and all lanes. The context of Run must have ended.
func (s *Server) Close() {
	_ = s.ln.Close() // Only fails when closed before.
	s.mu.Lock()
	for l := range s.lanes {
		l.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serve runs the work of one lane, one after the other.
func (s *Server) serve(ctx context.Context, l *lane) {
	for {
		w, err := s.mesh.work(l)
		if err != nil {
			return // The other side has closed it, or is no instance.
		}
		if !s.one(ctx, l, w) {
			return
		}
	}
}

func (s *Server) one(parent context.Context, l *lane, w *berylrequest.Request) bool {
	ctx, cancel := context.WithDeadline(parent, w.Deadline)
	defer cancel()
	stop := watch(l, cancel)
	out := s.run(ctx, w)
	stop()
	defer out.Close()
	if c, ok := w.Stream.(*chunked); ok && !c.done {
		// The rest of the body is still to come on this lane.
		_ = s.mesh.answer(l, w, out) // The lane is closed either way.
		return false
	}
	_ = l.nc.SetWriteDeadline(time.Now().Add(slowReader)) // Fails only when closed.
	return s.mesh.answer(l, w, out) == nil
}

// watch cancels work whose asker has closed the lane.
func watch(l *lane, cancel func()) (stop func()) {
	var mu sync.Mutex
	var t *time.Timer
	ended := false
	mu.Lock()
	defer mu.Unlock()
	t = time.AfterFunc(watchAfter, func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if berylprobe.Peek(l.nc) == berylprobe.Closed {
			cancel()
			return
		}
		t.Reset(watchEvery)
	})
	return func() {
		mu.Lock()
		ended = true
		mu.Unlock()
		t.Stop()
	}
}
