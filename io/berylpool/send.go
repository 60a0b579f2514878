package berylpool

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylhopheaders"
	"berylspan/io/berylbody"
	"berylspan/io/berylreply"
)

// Request is what is sent. Header must hold no fields that concern one
// connection. Body is followed by Stream, when that is not nil; Length is that
// of the whole, -1 when unknown. Once says that it must not run twice.
type Request struct {
	Method string
	URI    string
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	Stream io.Reader
	Length int64
	Once   bool
}

const (
	wholeAnswer = 256 << 10 // bytes; longer answers are streamed
	mostStray   = 4         // answers to other requests that are passed over
)

// Send sends the request once. When ctx ends its connection is closed, which
// makes the server drop the request. Free is called once the server has
// finished with the request.
func (p *Pool) Send(ctx context.Context, r *Request, free func()) *berylreply.Reply {
	l, err := p.get(ctx, r.Once)
	if err != nil {
		free()
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonNoConnection)
	}
	stop := context.AfterFunc(ctx, l.close)
	x := &exchange{pool: p, link: l, request: r, stop: stop, free: free}
	return x.run(ctx)
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	link    *link
	request *Request
	stop    func() bool
	free    func()
	sent    chan error // result of writing a streamed body, nil without one
	reuse   bool
}

func (x *exchange) run(ctx context.Context) *berylreply.Reply {
	if err := x.write(); err != nil {
		// Bytes may have left before the error.
		return x.fail(ctx, berylreply.ReasonConnectionBroken)
	}
	resp, err := x.read() //nolint:bodyclose // The body is read to its end, or the connection is closed.
	if err != nil {
		reason := berylreply.ReasonConnectionBroken
		if errors.Is(err, errStray) || strings.Contains(err.Error(), "malformed") {
			reason = berylreply.ReasonMalformed
		}
		return x.fail(ctx, reason)
	}
	return x.answer(ctx, resp)
}

func (x *exchange) fail(ctx context.Context, reason string) *berylreply.Reply {
	if ctx.Err() != nil {
		reason = berylreply.ReasonCanceled
	}
	x.end()
	return berylreply.NewFailure(berylattempt.Unknown, reason)
}

// end gives the connection back, or closes it when its state is not certain.
func (x *exchange) end() {
	alive := x.stop()
	if x.sent != nil {
		select {
		case err := <-x.sent:
			x.reuse = x.reuse && err == nil
		default:
			// The server answered before it had the body.
			x.reuse = false
		}
	}
	if alive && x.reuse && x.link.br.Buffered() == 0 {
		x.pool.put(x.link)
	} else {
		x.link.close()
	}
	x.free()
}

// write sends the head and a short body, and starts sending a long one.
func (x *exchange) write() error {
	r, w := x.request, x.link.bw
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	chunked := r.Length < 0
	switch {
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead):
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(r.Length, 10))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if r.Stream == nil && !chunked {
		_, _ = w.Write(r.Body)
		return w.Flush()
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- x.writeLong(chunked) }() // Ends with the connection at the latest.
	return nil
}

func (x *exchange) writeLong(chunked bool) error {
	w := x.link.bw
	chunk := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		if chunked {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
		}
		_, _ = w.Write(p)
		if chunked {
			_, _ = w.WriteString("\r\n")
		}
		return w.Flush()
	}
	if err := chunk(x.request.Body); err != nil {
		return err
	}
	buf := make([]byte, buffer)
	for x.request.Stream != nil {
		n, err := x.request.Stream.Read(buf)
		if e := chunk(buf[:n]); e != nil {
			return e
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			// The server must not take a part for the whole.
			x.link.close()
			return err
		}
	}
	if chunked {
		_, _ = w.WriteString("0\r\n\r\n")
	}
	return w.Flush()
}

var errStray = errors.New("too many answers to other requests") //nolint:gochecknoglobals // A sentinel.

// read returns the answer to the request; others on the connection are late or
// doubled and belong to nobody.
func (x *exchange) read() (*http.Response, error) {
	req := &http.Request{Method: x.request.Method}
	for range mostStray {
		resp, err := http.ReadResponse(x.link.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(x.pool.names.RequestID)
		if id == x.request.ID || (id == "" && resp.StatusCode >= http.StatusBadRequest) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			_ = resp.Body.Close() // Ends with the connection.
			return nil, errStray
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		_ = resp.Body.Close() // Was read to its end.
	}
	return nil, errStray
}

// answer judges a response and reads it, whole when it is short.
func (x *exchange) answer(ctx context.Context, resp *http.Response) *berylreply.Reply {
	h := resp.Header
	names := &x.pool.names
	x.keep(resp)
	if h.Get(names.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		_, err := io.CopyN(io.Discard, resp.Body, wholeAnswer)
		x.reuse = x.reuse && errors.Is(err, io.EOF)
		x.end()
		r := berylreply.NewFailure(berylattempt.Rejected, berylreply.ReasonRejected)
		r.Status = resp.StatusCode
		if resp.StatusCode == http.StatusMisdirectedRequest {
			r.Reason, r.ActualServerID = berylreply.ReasonWrongServer, h.Get(names.ServingServer)
		}
		return r
	}
	success := resp.StatusCode < http.StatusMultipleChoices
	if (success && h.Get(names.ResponseSignature) == "") || h.Get("Content-Encoding") != "" {
		x.reuse = false
		return x.fail(ctx, berylreply.ReasonMalformed)
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer))
	if err != nil {
		x.reuse = false
		return x.fail(ctx, berylreply.ReasonMalformed)
	}
	berylhopheaders.Strip(h)
	delete(h, "Content-Length")
	out := &berylreply.Reply{Outcome: berylattempt.Answered, Status: resp.StatusCode, Header: h, Body: head, Length: resp.ContentLength}
	if len(head) < wholeAnswer || int64(len(head)) == resp.ContentLength {
		if x.request.Method != http.MethodHead {
			out.Length = int64(len(head))
		}
		x.end()
		return out
	}
	// An answer that is not read to its end takes the connection with it.
	out.Stream = berylbody.New(resp.Body, func(whole bool) {
		x.reuse = x.reuse && whole
		x.end()
	})
	return out
}

// keep notes whether and how long the connection may be used again.
func (x *exchange) keep(resp *http.Response) {
	x.reuse = !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	for _, f := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		if n, err := strconv.Atoi(v); err == nil && name == "timeout" {
			x.link.keep = max(0, min(time.Duration(n)*time.Second-keepMargin, keepMost))
		}
	}
}
