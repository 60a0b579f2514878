package berylconnpool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylhopheaders"
	"berylspan/io/berylbody"
	"berylspan/io/beryllimitedreader"
	"berylspan/io/berylpanic"
	"berylspan/io/berylreply"
)

// Request is a request for the backend server. ID is the id of the request, which Header
// contains too and the server returns in its answer. It is not sent twice on one connection. Header must not contain hop-by-hop
// fields. The body is Body, followed by Stream if that is not nil; Length is that of the
// whole body, or -1 if unknown. NonIdempotent is set if the request must not run twice. The
// functions may be nil.
type Request struct {
	Method        string
	URI           string
	Host          string
	ID            string
	Header        http.Header
	Body          []byte
	Stream        io.Reader
	Length        int64
	NonIdempotent bool
	OnHeader      func(h http.Header) // called with the header of the server's answer before onDone
	OnAnswered    func()              // called before onDone when a whole answer with a receipt has been read
	OnBroken      func()              // called before onDone if the connection broke before the whole answer, unless ctx was cancelled
}

const (
	maxBufferedAnswer  = 256 << 10 // bytes; longer answers are streamed
	maxResponses       = 4         // final responses that are read to find the answer to a request
	maxResponseHead    = 64 << 10  // bytes of status line and header
	maxDiscardedAnswer = 256 << 10 // bytes of the body of an answer to another request
)

// Send sends the request, at most once, and returns the result. If ctx is cancelled, the
// connection is closed, which makes the server drop the request. onDone is called when
// the server has finished with the request as far as is known: the answer has been read,
// its stream has been closed, or the attempt has failed.
func (p *Pool) Send(ctx context.Context, r *Request, onDone func()) *berylreply.Reply {
	c, err := p.get(ctx, r)
	if err != nil {
		onDone()
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonNoConnection)
	}
	stopClosing := context.AfterFunc(ctx, c.close)
	e := &exchange{pool: p, conn: c, request: r, stopClosing: stopClosing, onDone: onDone, idSentBefore: c.sent.Contains(r.ID)}
	c.sent.Add(r.ID)
	return e.run(ctx)
}

// exchange is a request and its answer on a connection.
type exchange struct {
	pool        *Pool
	conn        *conn
	request     *Request
	stopClosing func() bool // stops the closing of the connection on cancellation, false if too late
	onDone      func()
	bodyWritten chan error // result of writing a streamed body, nil without one
	writeMu     sync.Mutex // held while a part of a streamed body is written
	writeErr    error      // of the connection, when the body was written; guarded by writeMu
	reuse       bool       // whether the connection can be reused after the answer
	singleUse   bool       // the connection must not be reused, whatever the answer

	idSentBefore bool // on the connection, with an earlier request
	bodyPending  bool // the whole body had not been written when the answer was processed
}

func (e *exchange) run(ctx context.Context) *berylreply.Reply {
	if err := e.writeRequest(); err != nil {
		// Part of the request may have been sent before the error.
		return e.fail(ctx, berylreply.ReasonConnectionBroken)
	}
	resp, err := e.readResponse() //nolint:bodyclose // The body is read to its end, or the connection is closed.
	if err != nil {
		return e.fail(ctx, readFailure(err))
	}
	return e.newReply(ctx, resp)
}

// readFailure returns the reason that a failed read of the response is reported with.
func readFailure(err error) string {
	switch {
	case errors.Is(err, beryllimitedreader.ErrLimit), errors.Is(err, errOverlong):
		return berylreply.ReasonOverlong
	case errors.Is(err, errNoID):
		return berylreply.ReasonNoID
	case errors.Is(err, errNoMatch), errors.Is(err, errStatus), strings.Contains(err.Error(), "malformed"):
		return berylreply.ReasonMalformed
	}
	return berylreply.ReasonConnectionBroken
}

// isBroken reports whether the body of an answer could not be read because the connection
// broke.
func isBroken(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr)
}

func (e *exchange) fail(ctx context.Context, reason string) *berylreply.Reply {
	switch {
	case ctx.Err() != nil:
		reason = berylreply.ReasonCanceled
	case reason == berylreply.ReasonConnectionBroken:
		e.reportBroken()
	}
	e.finish()
	return berylreply.NewFailure(berylattempt.Unknown, reason)
}

func (e *exchange) reportBroken() {
	if e.request.OnBroken != nil {
		e.request.OnBroken()
	}
}

// reportAnswered reports a whole answer with the given header.
func (e *exchange) reportAnswered(h http.Header) {
	if e.request.OnAnswered != nil && h.Get(e.pool.names.ResponseSignature) != "" {
		e.request.OnAnswered()
	}
}

// finish returns the connection to the pool, or closes it if its state is uncertain.
func (e *exchange) finish() {
	open := e.stopClosing()
	if e.bodyWritten != nil {
		select {
		case err := <-e.bodyWritten:
			e.reuse = e.reuse && err == nil
		default:
			// The server answered before it received the whole body.
			e.reuse, e.bodyPending = false, true
		}
	}
	if open && e.reuse && !e.conn.sent.Full() && e.conn.br.Buffered() == 0 {
		e.pool.put(e.conn)
	} else {
		e.conn.close()
	}
	e.onDone()
}

// writeRequest writes the header and a body of known length that is not streamed. It
// starts a goroutine that writes any other body.
func (e *exchange) writeRequest() error {
	r, w := e.request, e.conn.bw
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
	e.bodyWritten = make(chan error, 1)
	go func() { // Ends at the latest when the connection is closed.
		err := berylpanic.ErrPanic
		if !e.pool.guard("request body", func() { err = e.writeBody(chunked) }) {
			e.conn.close()
		}
		e.bodyWritten <- err
	}()
	return nil
}

// writeBody writes Body and Stream, flushing each part as it becomes available.
func (e *exchange) writeBody(chunked bool) error {
	w := e.conn.bw
	flush := func() error {
		err := w.Flush()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			e.writeErr = err
		}
		return err
	}
	writePart := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		e.writeMu.Lock()
		defer e.writeMu.Unlock()
		if chunked {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
		}
		_, _ = w.Write(p)
		if chunked {
			_, _ = w.WriteString("\r\n")
		}
		return flush()
	}
	if err := writePart(e.request.Body); err != nil {
		return err
	}
	buf := make([]byte, bufferSize)
	for e.request.Stream != nil {
		n, err := e.request.Stream.Read(buf)
		if writeErr := writePart(buf[:n]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			// The server must not take the incomplete body for a complete one.
			e.conn.close()
			return err
		}
	}
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	if chunked {
		_, _ = w.WriteString("0\r\n\r\n")
	}
	return flush()
}

var (
	errNoMatch  = errors.New("no response has the id of the request")               //nolint:gochecknoglobals // A sentinel.
	errNoID     = errors.New("error response without an id on a reused connection") //nolint:gochecknoglobals // A sentinel.
	errOverlong = errors.New("answer to another request exceeds its size limit")    //nolint:gochecknoglobals // A sentinel.
)

// readResponse returns the response to the request. It skips answers to other requests, which
// are late or duplicated.
func (e *exchange) readResponse() (*http.Response, error) {
	req := &http.Request{Method: e.request.Method}
	for range maxResponses {
		resp, err := e.readFinalResponse(req)
		if err != nil {
			return nil, err
		}
		answers, err := e.answersRequest(resp)
		if err != nil {
			return nil, err
		}
		if answers {
			return resp, nil
		}
		e.discard(resp)
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			_ = resp.Body.Close() // The body ends only with the connection.
			return nil, errNoMatch
		}
		if n, err := io.CopyN(io.Discard, resp.Body, maxDiscardedAnswer); n == maxDiscardedAnswer {
			return nil, errOverlong
		} else if !errors.Is(err, io.EOF) {
			return nil, err
		}
		_ = resp.Body.Close() // The body was read to its end.
	}
	return nil, errNoMatch
}

// answersRequest reports whether a response answers the request. Besides one with its id this
// is an error response without an id, if it is the first response on the connection. A later
// one may be an earlier response once more and proves nothing. If the server's responses with
// its status have ids, the answer is still to come; otherwise nobody can tell, which is an
// error.
func (e *exchange) answersRequest(resp *http.Response) (bool, error) {
	first := !e.conn.used
	e.conn.used = true
	id := resp.Header.Get(e.pool.names.RequestID)
	isError := resp.StatusCode >= http.StatusBadRequest
	switch {
	case id == e.request.ID:
		if isError {
			e.pool.recordErrorID(resp.StatusCode, e.isRejection(resp), true)
		}
		return true, nil
	case id != "" || !isError:
		return false, nil
	case first:
		e.pool.recordErrorID(resp.StatusCode, e.isRejection(resp), false)
		e.singleUse = true // The server may send the response once more.
		return true, nil
	case !e.pool.errorsHaveID(resp.StatusCode):
		return false, errNoID
	}
	e.singleUse = true
	return false, nil
}

// discard reports a response that is not believed.
func (e *exchange) discard(resp *http.Response) {
	e.pool.onDiscarded(Discarded{RequestID: e.request.ID, ResponseID: resp.Header.Get(e.pool.names.RequestID), Status: resp.StatusCode, Rejection: e.saysNotRun(resp)})
}

// isRejection reports whether a response proves that the server did not run the request. One that
// says so and is no error contradicts itself.
func (e *exchange) isRejection(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && e.saysNotRun(resp)
}

func (e *exchange) saysNotRun(resp *http.Response) bool {
	return resp.Header.Get(e.pool.names.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// promisesNotRun reports whether a status promises the caller that its request did not run.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// newReply classifies a response and reads its body. A body that is too long for
// maxBufferedAnswer is streamed. Without the receipt of a backend server, a successful response
// is malformed, and so is an error whose status promises the caller that the request did not run:
// only a rejection proves that.
func (e *exchange) newReply(ctx context.Context, resp *http.Response) *berylreply.Reply {
	h := resp.Header
	names := &e.pool.names
	e.recordReuse(resp)
	success := resp.StatusCode < http.StatusMultipleChoices
	signed := h.Get(names.ResponseSignature) != ""
	malformed := (success && !signed) || h.Get("Content-Encoding") != ""
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest // answered by another server
	if e.request.OnHeader != nil && !malformed && !misdirected {
		e.request.OnHeader(h)
	}
	if e.isRejection(resp) {
		_, err := io.CopyN(io.Discard, resp.Body, maxBufferedAnswer)
		e.reuse = e.reuse && errors.Is(err, io.EOF)
		e.finish()
		reply := berylreply.NewFailure(berylattempt.Rejected, berylreply.ReasonRejected)
		reply.Status, reply.IDSentBefore, reply.BodyPending = resp.StatusCode, e.idSentBefore, e.bodyPending
		if misdirected {
			reply.Reason, reply.ActualServerID = berylreply.ReasonWrongServer, h.Get(names.ServingServer)
		}
		return reply
	}
	if malformed || e.saysNotRun(resp) || (!signed && promisesNotRun(resp.StatusCode)) {
		e.reuse = false
		return e.fail(ctx, berylreply.ReasonMalformed)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody && e.bodyWritten != nil {
		resp.Body = &unframedBody{ReadCloser: resp.Body, broken: e.writerSawError}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		e.reuse = false
		if ctx.Err() == nil && isBroken(err) {
			e.reportBroken()
		}
		return e.fail(ctx, berylreply.ReasonMalformed)
	}
	berylhopheaders.Strip(h)
	delete(h, "Content-Length")
	reply := &berylreply.Reply{Outcome: berylattempt.Answered, Status: resp.StatusCode, Header: h, Body: body, Length: resp.ContentLength}
	if len(body) < maxBufferedAnswer || int64(len(body)) == resp.ContentLength {
		if e.request.Method != http.MethodHead {
			reply.Length = int64(len(body))
		}
		e.reportAnswered(h)
		e.finish()
		return reply
	}
	// The connection is closed if the stream is not read to its end.
	reply.Stream = berylbody.New(resp.Body, func(complete bool) {
		e.reuse = e.reuse && complete
		if complete {
			e.reportAnswered(h)
		}
		e.finish()
	})
	return reply
}

// writerSawError reports whether the connection failed while the request body was written. It
// ends the writing.
func (e *exchange) writerSawError() bool {
	_ = e.conn.nc.SetWriteDeadline(time.Now()) // Ends a write in progress; fails only if the connection is closed.
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	return e.writeErr != nil
}

// unframedBody reads a body that ends with the connection, while the request body is written.
// The system reports a reset once, to a write or to a read. After a write has got it, the read
// ends as if the server had closed the connection.
type unframedBody struct {
	io.ReadCloser
	broken func() bool
}

// Read returns io.ErrUnexpectedEOF at the end of a connection that was broken.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.broken() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// recordReuse records whether the connection can be reused, and its idle timeout if the
// server announces one.
func (e *exchange) recordReuse(resp *http.Response) {
	e.reuse = !resp.Close && !e.singleUse && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	for _, param := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if n, err := strconv.Atoi(value); err == nil && name == "timeout" {
			e.conn.idleTimeout = max(0, min(time.Duration(n)*time.Second-idleMargin, maxIdleTimeout))
		}
	}
}
