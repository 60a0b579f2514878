// Package berylrelay forwards a call to an address and reads the answer.
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

// Relay forwards calls. It caches one connect client per address, path, codec and
// protocol. It is safe for concurrent use.
type Relay struct {
	httpClient      connect.HTTPClient
	scheme          string
	maxMessageBytes int
	clients         sync.Map  // *client by clientKey
	buffers         sync.Pool // *[]byte of released messages
}

type clientKey struct {
	addr     string
	path     string
	codec    string
	protocol string
}

type client = connect.Client[berylframe.Frame, berylframe.Frame]

// New returns a relay that sends requests with httpClient. Scheme is http or https.
// Received messages may have at most maxMessageBytes bytes.
func New(httpClient connect.HTTPClient, scheme string, maxMessageBytes int) *Relay {
	return &Relay{httpClient: httpClient, scheme: scheme, maxMessageBytes: maxMessageBytes}
}

// client returns the cached client for key, or creates one.
func (r *Relay) client(key clientKey) *client {
	if cached, ok := r.clients.Load(key); ok {
		c, _ := cached.(*client)
		return c
	}
	opts := []connect.ClientOption{
		connect.WithCodec(berylframe.Pooled(key.codec, &r.buffers)),
		connect.WithReadMaxBytes(r.maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	}
	switch key.protocol {
	case connect.ProtocolGRPC:
		opts = append(opts, connect.WithGRPC())
	case connect.ProtocolGRPCWeb:
		opts = append(opts, connect.WithGRPCWeb())
	}
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](r.httpClient, r.scheme+"://"+key.addr+key.path, opts...)
	r.clients.Store(key, c)
	return c
}

// attempt records whether a connection was obtained for a call, after which the call may
// have reached the address.
type attempt struct {
	gotConn atomic.Bool
}

// Do forwards x to addr with header added to its headers. A stream is canceled if no
// message arrives for idleTimeout. The outcome has a Refusal if no complete answer
// arrived; the refusal's MayHaveRun is false only if no connection was obtained for the
// call.
func (r *Relay) Do(ctx context.Context, addr string, x *berylexchange.Exchange, header http.Header, idleTimeout time.Duration) *beryloutcome.Outcome {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.gotConn.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	c := r.client(clientKey{addr: addr, path: x.Path, codec: x.Codec, protocol: x.Protocol})
	req := connect.NewRequest(&berylframe.Frame{Codec: x.Codec, Data: x.Body})
	berylheader.Add(req.Header(), x.Header)
	berylheader.Add(req.Header(), header)
	if x.Sink != nil {
		return a.callStream(ctx, c, req, x, idleTimeout)
	}
	res, err := c.CallUnary(ctx, req)
	if err != nil {
		return a.failure(ctx, err)
	}
	return &beryloutcome.Outcome{Header: res.Header(), Trailer: res.Trailer(), Body: res.Msg.Data}
}

// callStream calls c and passes each message of the answer to x.Sink.
func (a *attempt) callStream(ctx context.Context, c *client, req *connect.Request[berylframe.Frame], x *berylexchange.Exchange, idleTimeout time.Duration) *beryloutcome.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idleTimeout, func() { cancel(errStalled) })
	defer timer.Stop()
	stream, err := c.CallServerStream(ctx, req)
	if err != nil {
		return a.failure(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	started := false
	for stream.Receive() {
		timer.Reset(idleTimeout)
		started = true
		msg := stream.Msg()
		if err := x.Sink(stream.ResponseHeader(), msg.Data); err != nil {
			cancel(err)
			out := a.failure(ctx, err)
			out.StreamStarted = true
			var refusal *berylrefusal.Refusal
			if errors.As(err, &refusal) {
				out.Refusal = refusal
			}
			return out
		}
		msg.Release()
		timer.Reset(idleTimeout)
	}
	if err := stream.Err(); err != nil {
		out := a.failure(ctx, err)
		out.StreamStarted = started
		return out
	}
	return &beryloutcome.Outcome{Header: stream.ResponseHeader(), Trailer: stream.ResponseTrailer(), StreamStarted: started}
}

var errStalled = errors.New("no message came in time")

// failure returns the outcome of a call that failed with err. An error that the server
// answered with becomes Outcome.Err; any other failure, such as a lost connection or a
// timeout, becomes a refusal. If a refusal is the cause of the end of ctx, it takes its reason from
// there. A canceled call or a stalled stream does not mark the
// address as unreachable.
func (a *attempt) failure(ctx context.Context, err error) *beryloutcome.Outcome {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		connectErr = connect.NewError(connect.CodeUnavailable, err)
	}
	out := &beryloutcome.Outcome{}
	if connect.IsWireError(err) {
		out.Err = connectErr
		out.Header = connectErr.Meta()
		return out
	}
	refusal := berylrefusal.NewNotRun(berylrefusal.Backend, connect.CodeUnavailable, "no answer came: "+connectErr.Message())
	var cause *berylrefusal.Refusal
	switch {
	case errors.As(context.Cause(ctx), &cause):
		refusal.Reason, refusal.Code, refusal.Text = cause.Reason, cause.Code, cause.Text
	case errors.Is(context.Cause(ctx), errStalled):
		refusal.Reason, refusal.Text = berylrefusal.Stalled, errStalled.Error()
	case connectErr.Code() == connect.CodeDeadlineExceeded || errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Reason, refusal.Code, refusal.Text = berylrefusal.Deadline, connect.CodeDeadlineExceeded, "the time was up before the answer came"
	case ctx.Err() != nil:
		refusal.Reason, refusal.Code, refusal.Text = berylrefusal.Canceled, connect.CodeCanceled, "the caller gave up"
	}
	refusal.MayHaveRun = a.gotConn.Load()
	out.Refusal = refusal
	out.MaybeUnreachable = ctx.Err() == nil || refusal.Reason == berylrefusal.Deadline
	return out
}
