// Package berylfakebackend stands in for a backend server in tests and the
// demo.
package berylfakebackend

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/io/berylframe"
	"berylspan/io/berylheader"
	"berylspan/io/berylserver"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
)

// Backend serves every path in a bounded number of slots. Work tells what a
// path costs and which calls it makes by way of the daemon at Local. It is safe
// for concurrent use; the fields are set before Start.
type Backend struct {
	Slots int
	Queue int
	Local string
	Work  func(path string) Work
	Saw   func(path string, h http.Header)

	slow    atomic.Int64 // per cent
	slots   chan struct{}
	queued  atomic.Int64
	server  *berylserver.Server
	client  *http.Client
	mu      sync.Mutex
	callers map[string]*connect.Client[berylframe.Frame, berylframe.Frame]
}

// Work is what a path costs. Time is spent in the slot, Nested are the paths
// called one after another, Chunks the messages of a stream of Size bytes each.
type Work struct {
	Time   time.Duration
	Nested []string
	Fail   bool
	Chunks int
	Size   int
	Pace   time.Duration
}

// Start listens on addr.
func (b *Backend) Start(addr string) error {
	b.slots = make(chan struct{}, b.Slots)
	b.slow.Store(100)
	b.client = beryltransport.HTTP2(beryltransport.NetDial(), nil)
	b.callers = map[string]*connect.Client[berylframe.Frame, berylframe.Frame]{}
	unary := connect.NewUnaryHandler("/", b.unary, berylframe.HandlerOptions())
	stream := connect.NewServerStreamHandler("/", b.stream, berylframe.HandlerOptions())
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), pathKey{}, r.URL.Path)
		if b.Work(r.URL.Path).Chunks > 0 {
			stream.ServeHTTP(w, r.WithContext(ctx))
			return
		}
		unary.ServeHTTP(w, r.WithContext(ctx))
	})
	s, err := berylserver.Start(addr, h, nil)
	b.server = s
	return err
}

type pathKey struct{}

// Addr returns the address that is listened on.
func (b *Backend) Addr() string { return b.server.Addr() }

// Stop ends it as a crash would.
func (b *Backend) Stop() {
	_ = b.server.Close()
	b.client.CloseIdleConnections()
}

// Slow makes every path take percent of its time.
func (b *Backend) Slow(percent int) { b.slow.Store(int64(percent)) }

// enter waits for a slot, first come first served, and sheds when too many
// wait.
func (b *Backend) enter(ctx context.Context) error {
	if b.queued.Add(1) > int64(b.Queue+b.Slots) {
		b.queued.Add(-1)
		err := connect.NewError(connect.CodeResourceExhausted, errors.New("shed"))
		err.Meta().Set(berylheader.Run, "not run")
		return err
	}
	select {
	case b.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		b.queued.Add(-1)
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

func (b *Backend) leave() {
	<-b.slots
	b.queued.Add(-1)
}

func (b *Backend) unary(ctx context.Context, req *connect.Request[berylframe.Frame]) (*connect.Response[berylframe.Frame], error) {
	path, _ := ctx.Value(pathKey{}).(string)
	if err := b.enter(ctx); err != nil {
		return nil, err
	}
	defer b.leave()
	if b.Saw != nil {
		b.Saw(path, req.Header())
	}
	w := b.Work(path)
	if err := b.spend(ctx, w.Time); err != nil {
		return nil, err
	}
	for _, n := range w.Nested {
		if err := b.call(ctx, n, req.Header(), req.Msg); err != nil {
			return nil, err
		}
	}
	if w.Fail {
		return nil, connect.NewError(connect.CodeInternal, errors.New("this path always fails"))
	}
	// The answer repeats the message, so that callers can tell theirs.
	res := connect.NewResponse(&berylframe.Frame{Codec: req.Msg.Codec, Data: req.Msg.Data})
	res.Header().Set(berylheader.Call, req.Header().Get(berylheader.Call))
	return res, nil
}

func (b *Backend) spend(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d * time.Duration(b.slow.Load()) / 100)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// call makes a nested call by way of the daemon.
func (b *Backend) call(ctx context.Context, path string, h http.Header, msg *berylframe.Frame) error {
	b.mu.Lock()
	c := b.callers[path+msg.Codec]
	if c == nil {
		c = connect.NewClient[berylframe.Frame, berylframe.Frame](b.client, "http://"+b.Local+path, connect.WithCodec(berylframe.Codec(msg.Codec)))
		b.callers[path+msg.Codec] = c
	}
	b.mu.Unlock()
	req := connect.NewRequest(msg)
	req.Header().Set(berylheader.Token, h.Get(berylheader.Token))
	res, err := c.CallUnary(ctx, req)
	if err != nil {
		var ce *connect.Error
		if !errors.As(err, &ce) {
			return err
		}
		return connect.NewError(ce.Code(), errors.New(path+": "+ce.Message()))
	}
	if !bytes.Equal(res.Msg.Data, msg.Data) {
		return connect.NewError(connect.CodeDataLoss, errors.New("another call's answer"))
	}
	return nil
}

func (b *Backend) stream(ctx context.Context, req *connect.Request[berylframe.Frame], s *connect.ServerStream[berylframe.Frame]) error {
	path, _ := ctx.Value(pathKey{}).(string)
	if err := b.enter(ctx); err != nil {
		return err
	}
	defer b.leave()
	if b.Saw != nil {
		b.Saw(path, req.Header())
	}
	w := b.Work(path)
	if err := b.spend(ctx, w.Time); err != nil {
		return err
	}
	s.ResponseHeader().Set(berylheader.Call, req.Header().Get(berylheader.Call))
	chunk := strings.Repeat("x", max(w.Size, 2)-2)
	for range w.Chunks {
		if err := s.Send(&berylframe.Frame{Codec: req.Msg.Codec, Data: []byte(`"` + chunk + `"`)}); err != nil {
			return err
		}
		if err := b.spend(ctx, w.Pace); err != nil {
			return err
		}
	}
	return nil
}
