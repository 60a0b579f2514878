// Package berylendpoint accepts calls in the Connect, gRPC and gRPC-Web protocols and
// forwards their messages unchanged.
package berylendpoint

import (
	"context"
	"errors"
	"math"
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

// Endpoint is an HTTP handler for calls.
type Endpoint struct {
	route            func(path string) *berylroute.Route
	serve            func(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome
	responseMetadata func(out *beryloutcome.Outcome) http.Header
	unary            http.Handler
	stream           http.Handler
}

// MaxMessageBytes is the maximum size of a message.
const MaxMessageBytes = 4 << 20

const (
	// Answers are not compressed: each gzip writer holds more than 1 MB, and its processor
	// time is taken from the backend server. Compressed requests are accepted.
	compressMinBytes = math.MaxInt
	bodyReadTimeout  = 10 * time.Second
)

type requestInfoKey struct{}

// ResponseMetadata sets the function that returns the headers to add to a response: to the
// header of a unary response, to the trailer of a stream or to the metadata of an error.
func ResponseMetadata(metadata func(out *beryloutcome.Outcome) http.Header) func(*Endpoint) {
	return func(e *Endpoint) { e.responseMetadata = metadata }
}

// New returns an Endpoint. Route returns the route of a path, or nil if there is none.
// Serve runs a call and receives the request headers unfiltered.
func New(route func(path string) *berylroute.Route, serve func(context.Context, http.Header, *berylexchange.Exchange) *beryloutcome.Outcome, opts ...func(*Endpoint)) *Endpoint {
	e := &Endpoint{route: route, serve: serve, responseMetadata: func(*beryloutcome.Outcome) http.Header { return nil }}
	for _, o := range opts {
		o(e)
	}
	common := connect.WithHandlerOptions(
		berylframe.HandlerOptions(),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithIdempotency(connect.IdempotencyNoSideEffects),
	)
	e.unary = connect.NewUnaryHandler("/", e.serveUnary, common)
	e.stream = connect.NewServerStreamHandler("/", e.serveStream, common)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	// Preset for requests that connect itself rejects, before it calls serveUnary or
	// serveStream.
	h := w.Header()
	h.Set(berylheader.Run, berylrefusal.NotRun)
	h.Set(berylheader.Reason, berylrefusal.Form)
	ctx := context.WithValue(r.Context(), requestInfoKey{}, &requestInfo{path: r.URL.Path, responseHeader: h})
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

// requestInfo is passed to serveUnary and serveStream in the context.
type requestInfo struct {
	path           string
	responseHeader http.Header
}

// acceptRequest returns the requestInfo of ctx and removes the headers that ServeHTTP
// presets for requests that connect rejects.
func acceptRequest(ctx context.Context) *requestInfo {
	info, _ := ctx.Value(requestInfoKey{}).(*requestInfo)
	info.responseHeader.Del(berylheader.Run)
	info.responseHeader.Del(berylheader.Reason)
	return info
}

func (e *Endpoint) serveUnary(ctx context.Context, req *connect.Request[berylframe.Frame]) (*connect.Response[berylframe.Frame], error) {
	info := acceptRequest(ctx)
	x := &berylexchange.Exchange{Path: info.path, Protocol: req.Peer().Protocol, Codec: req.Msg.Codec, Body: req.Msg.Data}
	out := e.serve(ctx, req.Header(), x)
	if err := e.connectError(out); err != nil {
		return nil, err
	}
	res := connect.NewResponse(&berylframe.Frame{Codec: x.Codec, Data: out.Body})
	berylheader.Add(res.Header(), berylheader.Clean(out.Header, ""))
	berylheader.Add(res.Header(), e.responseMetadata(out))
	berylheader.Add(res.Trailer(), berylheader.Clean(out.Trailer, ""))
	return res, nil
}

func (e *Endpoint) serveStream(ctx context.Context, req *connect.Request[berylframe.Frame], s *connect.ServerStream[berylframe.Frame]) error {
	info := acceptRequest(ctx)
	x := &berylexchange.Exchange{Path: info.path, Protocol: req.Peer().Protocol, Codec: req.Msg.Codec, Body: req.Msg.Data}
	first := true
	x.Sink = func(header http.Header, message []byte) error {
		if first {
			first = false
			berylheader.Add(s.ResponseHeader(), berylheader.Clean(header, ""))
		}
		return s.Send(&berylframe.Frame{Codec: x.Codec, Data: message})
	}
	out := e.serve(ctx, req.Header(), x)
	if err := e.connectError(out); err != nil {
		return err
	}
	if first {
		berylheader.Add(s.ResponseHeader(), berylheader.Clean(out.Header, ""))
	}
	berylheader.Add(s.ResponseTrailer(), berylheader.Clean(out.Trailer, ""))
	berylheader.Add(s.ResponseTrailer(), e.responseMetadata(out))
	return nil
}

// connectError returns the error for the caller, or nil if the call succeeded.
func (e *Endpoint) connectError(out *beryloutcome.Outcome) error {
	if out.Refusal == nil && out.Err == nil {
		return nil
	}
	var err *connect.Error
	if out.Refusal != nil {
		err = connect.NewError(out.Refusal.Code, out.Refusal)
		berylheader.Add(err.Meta(), refusalHeader(out.Refusal))
	} else {
		err = connect.NewError(out.Err.Code(), errors.New(out.Err.Message()))
		for _, d := range out.Err.Details() {
			err.AddDetail(d)
		}
		berylheader.Add(err.Meta(), berylheader.Clean(out.Header, ""))
	}
	berylheader.Add(err.Meta(), e.responseMetadata(out))
	return err
}

// refusalHeader returns the headers that describe a refusal to the caller.
func refusalHeader(r *berylrefusal.Refusal) http.Header {
	h := http.Header{}
	h.Set(berylheader.Run, r.RunStatus())
	h.Set(berylheader.Reason, r.Reason)
	if r.RetryAfter > 0 {
		secs := int((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set(berylheader.After, strconv.Itoa(secs))
	}
	return h
}
