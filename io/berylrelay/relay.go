// Package berylrelay sends one call to one address and reads its answer.
package berylrelay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/io/berylframe"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
)

// Relay keeps one connect client per address, procedure and protocol. It is
// safe for concurrent use.
type Relay struct {
	doer    connect.HTTPClient
	scheme  string
	maxBody int
	clients sync.Map
	buffers sync.Pool
}

type target struct {
	addr     string
	path     string
	codec    string
	protocol string
}

type client = connect.Client[berylframe.Frame, berylframe.Frame]

// New returns a relay that sends by doer. Scheme is http or https and maxBody
// the largest message in bytes.
func New(doer connect.HTTPClient, scheme string, maxBody int) *Relay {
	return &Relay{doer: doer, scheme: scheme, maxBody: maxBody}
}

func (r *Relay) client(t target) *client {
	if c, ok := r.clients.Load(t); ok {
		found, _ := c.(*client)
		return found
	}
	opts := []connect.ClientOption{
		connect.WithCodec(berylframe.Pooled(t.codec, &r.buffers)),
		connect.WithReadMaxBytes(r.maxBody),
		connect.WithAcceptCompression("gzip", nil, nil),
	}
	switch t.protocol {
	case connect.ProtocolGRPC:
		opts = append(opts, connect.WithGRPC())
	case connect.ProtocolGRPCWeb:
		opts = append(opts, connect.WithGRPCWeb())
	}
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](r.doer, r.scheme+"://"+t.addr+t.path, opts...)
	r.clients.Store(t, c)
	return c
}

// Reply is what came back: the outcome and whether any byte of the call may
// have reached the address.
type reply struct {
	sent atomic.Bool
}

// Do sends x with the given headers to addr. A stream is ended when no message
// came for idle. The outcome's Refusal is set when no whole answer came; its
// Ran is false only when no connection had taken the call.
func (r *Relay) Do(ctx context.Context, addr string, x *berylexchange.Exchange, header http.Header, idle time.Duration) *beryloutcome.Outcome {
	rep := &reply{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { rep.sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	c := r.client(target{addr: addr, path: x.Path, codec: x.Codec, protocol: x.Protocol})
	req := connect.NewRequest(&berylframe.Frame{Codec: x.Codec, Data: x.Body})
	berylheader.Add(req.Header(), x.Header)
	berylheader.Add(req.Header(), header)
	if x.Sink != nil {
		return rep.stream(ctx, c, req, x, idle)
	}
	res, err := c.CallUnary(ctx, req)
	if err != nil {
		return rep.failed(ctx, err)
	}
	return &beryloutcome.Outcome{Header: res.Header(), Trailer: res.Trailer(), Body: res.Msg.Data}
}

func (p *reply) stream(ctx context.Context, c *client, req *connect.Request[berylframe.Frame], x *berylexchange.Exchange, idle time.Duration) *beryloutcome.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idle, func() { cancel(errStalled) })
	defer timer.Stop()
	s, err := c.CallServerStream(ctx, req)
	if err != nil {
		return p.failed(ctx, err)
	}
	defer func() { _ = s.Close() }()
	began := false
	for s.Receive() {
		timer.Reset(idle)
		began = true
		msg := s.Msg()
		if err := x.Sink(s.ResponseHeader(), msg.Data); err != nil {
			cancel(err)
			out := p.failed(ctx, err)
			out.StreamStarted = true
			var ref *berylrefusal.Refusal
			if errors.As(err, &ref) {
				out.Refusal = ref
			}
			return out
		}
		msg.Release()
		timer.Reset(idle)
	}
	if err := s.Err(); err != nil {
		out := p.failed(ctx, err)
		out.StreamStarted = began
		return out
	}
	return &beryloutcome.Outcome{Header: s.ResponseHeader(), Trailer: s.ResponseTrailer(), StreamStarted: began}
}

var errStalled = errors.New("no message came in time")

// failed tells an error that the other side answered with from one of the way
// to it.
func (p *reply) failed(ctx context.Context, err error) *beryloutcome.Outcome {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		ce = connect.NewError(connect.CodeUnavailable, err)
	}
	out := &beryloutcome.Outcome{}
	if connect.IsWireError(err) {
		out.Err = ce
		out.Header = ce.Meta()
		return out
	}
	ref := berylrefusal.NewNotRun(berylrefusal.Backend, connect.CodeUnavailable, "no answer came: "+ce.Message())
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		ref.Reason, ref.Text = berylrefusal.Stalled, errStalled.Error()
	case ce.Code() == connect.CodeDeadlineExceeded || errors.Is(ctx.Err(), context.DeadlineExceeded):
		ref.Reason, ref.Code, ref.Text = berylrefusal.Deadline, connect.CodeDeadlineExceeded, "the time was up before the answer came"
	case ctx.Err() != nil:
		ref.Reason, ref.Code, ref.Text = berylrefusal.Canceled, connect.CodeCanceled, "the caller gave up"
	}
	ref.MayHaveRun = p.sent.Load()
	out.Refusal = ref
	out.MaybeUnreachable = ctx.Err() == nil || ref.Reason == berylrefusal.Deadline
	return out
}
