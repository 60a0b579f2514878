// Package berylendpoint takes calls in every usual protocol and passes their
// messages on as they came.
package berylendpoint

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylroute"
	"berylspan/io/berylframe"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
)

// Endpoint is an HTTP handler. Route returns the route of a path, or nil. Serve
// runs a call and sees the headers as they came; Extra returns headers to add to
// the end of an answer.
type Endpoint struct {
	route  func(path string) *berylroute.Route
	serve  func(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome
	extra  func(out *beryloutcome.Outcome) http.Header
	unary  http.Handler
	stream http.Handler
}

// MaxBody is the largest message in bytes.
const MaxBody = 4 << 20

const (
	compressMin = 1024 // bytes
	bodyTimeout = 10 * time.Second
)

type pathKey struct{}

// Extra sets the headers added to answers.
func Extra(f func(out *beryloutcome.Outcome) http.Header) func(*Endpoint) {
	return func(e *Endpoint) { e.extra = f }
}

// New returns an endpoint.
func New(route func(path string) *berylroute.Route, serve func(context.Context, http.Header, *berylexchange.Exchange) *beryloutcome.Outcome, opts ...func(*Endpoint)) *Endpoint {
	e := &Endpoint{route: route, serve: serve, extra: func(*beryloutcome.Outcome) http.Header { return nil }}
	for _, o := range opts {
		o(e)
	}
	common := connect.WithHandlerOptions(
		berylframe.HandlerOptions(),
		connect.WithReadMaxBytes(MaxBody),
		connect.WithCompressMinBytes(compressMin),
		connect.WithIdempotency(connect.IdempotencyNoSideEffects),
	)
	e.unary = connect.NewUnaryHandler("/", e.doUnary, common)
	e.stream = connect.NewServerStreamHandler("/", e.doStream, common)
	return e
}

// ServeHTTP serves one call.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	// Stands for calls that connect itself turns away, before doUnary or
	// doStream see them.
	h := w.Header()
	h.Set(berylheader.Run, berylrefusal.NotRun)
	h.Set(berylheader.Reason, berylrefusal.Form)
	ctx := context.WithValue(r.Context(), pathKey{}, &visit{path: r.URL.Path, header: h})
	route := e.route(r.URL.Path)
	if r.Method == http.MethodGet && (route == nil || !route.Idempotent) {
		http.Error(w, "GET is for idempotent routes", http.StatusMethodNotAllowed)
		return
	}
	if route != nil && route.Streaming || strings.HasPrefix(r.Header.Get("Content-Type"), "application/connect+") {
		e.stream.ServeHTTP(w, r.WithContext(ctx))
		return
	}
	e.unary.ServeHTTP(w, r.WithContext(ctx))
}

type visit struct {
	path   string
	header http.Header
}

// arrive returns the visit and takes back the headers for calls that were
// never seen.
func arrive(ctx context.Context) *visit {
	v, _ := ctx.Value(pathKey{}).(*visit)
	v.header.Del(berylheader.Run)
	v.header.Del(berylheader.Reason)
	return v
}

func (e *Endpoint) doUnary(ctx context.Context, req *connect.Request[berylframe.Frame]) (*connect.Response[berylframe.Frame], error) {
	v := arrive(ctx)
	x := &berylexchange.Exchange{Path: v.path, Protocol: req.Peer().Protocol, Codec: req.Msg.Codec, Body: req.Msg.Data}
	out := e.serve(ctx, req.Header(), x)
	if err := e.failure(out); err != nil {
		return nil, err
	}
	res := connect.NewResponse(&berylframe.Frame{Codec: x.Codec, Data: out.Body})
	berylheader.Add(res.Header(), berylheader.Clean(out.Header, ""))
	berylheader.Add(res.Header(), e.extra(out))
	berylheader.Add(res.Trailer(), berylheader.Clean(out.Trailer, ""))
	return res, nil
}

func (e *Endpoint) doStream(ctx context.Context, req *connect.Request[berylframe.Frame], s *connect.ServerStream[berylframe.Frame]) error {
	v := arrive(ctx)
	x := &berylexchange.Exchange{Path: v.path, Protocol: req.Peer().Protocol, Codec: req.Msg.Codec, Body: req.Msg.Data}
	first := true
	x.Sink = func(header http.Header, message []byte) error {
		if first {
			first = false
			berylheader.Add(s.ResponseHeader(), berylheader.Clean(header, ""))
		}
		return s.Send(&berylframe.Frame{Codec: x.Codec, Data: message})
	}
	out := e.serve(ctx, req.Header(), x)
	if err := e.failure(out); err != nil {
		return err
	}
	if first {
		berylheader.Add(s.ResponseHeader(), berylheader.Clean(out.Header, ""))
	}
	berylheader.Add(s.ResponseTrailer(), berylheader.Clean(out.Trailer, ""))
	berylheader.Add(s.ResponseTrailer(), e.extra(out))
	return nil
}

// failure returns the error for the caller, nil when there was an answer.
func (e *Endpoint) failure(out *beryloutcome.Outcome) error {
	if out.Refusal == nil && out.Err == nil {
		return nil
	}
	var err *connect.Error
	if out.Refusal != nil {
		err = connect.NewError(out.Refusal.Code, out.Refusal)
		berylheader.Add(err.Meta(), refused(out.Refusal))
	} else {
		err = connect.NewError(out.Err.Code(), errors.New(out.Err.Message()))
		for _, d := range out.Err.Details() {
			err.AddDetail(d)
		}
		berylheader.Add(err.Meta(), berylheader.Clean(out.Header, ""))
	}
	berylheader.Add(err.Meta(), e.extra(out))
	return err
}

func refused(r *berylrefusal.Refusal) http.Header {
	h := http.Header{}
	h.Set(berylheader.Run, r.RunStatus())
	h.Set(berylheader.Reason, r.Reason)
	if r.RetryAfter > 0 {
		secs := int((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set(berylheader.After, strconv.Itoa(secs))
	}
	return h
}
