package berylproxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylheadernames"
	"berylspan/core/berylhopheaders"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylreply"
)

// stripHeaders removes the header fields that must not reach a backend server:
// hop-by-hop fields, the caller's key, and fields that only instances may set.
func stripHeaders(h http.Header, names berylheadernames.Names) {
	berylhopheaders.Strip(h)
	for _, name := range []string{names.APIKey, names.Workspace, names.CallerService, names.TargetServer, "Content-Length", "Expect"} {
		delete(h, name)
	}
}

// closeNotifier wraps a body and calls onClose after the body has been closed.
type closeNotifier struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls onClose.
func (c *closeNotifier) Close() error {
	defer c.onClose()
	return c.ReadCloser.Close()
}

// newAnswer returns the answer of a backend server for the caller. onClose is called
// when its body has been written.
func (p *Proxy) newAnswer(reply *berylreply.Reply, onClose context.CancelFunc) *berylhttpserver.Answer {
	a := &berylhttpserver.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Length: reply.Length}
	delete(a.Header, "Content-Length")
	if reply.Stream == nil {
		onClose()
		return a
	}
	a.Stream = &closeNotifier{ReadCloser: reply.Stream, onClose: onClose}
	return a
}

// refuse returns an answer that this instance generates instead of a backend server.
// retryAfter is sent in the Retry-After field; it is 0 if a retry would not help.
func (p *Proxy) refuse(q *request, status int, reason string, retryAfter time.Duration) *berylhttpserver.Answer {
	q.reason = reason
	h := http.Header{}
	if id := q.Header.Get(p.Names.RequestID); id != "" {
		h[p.Names.RequestID] = []string{id}
	}
	if retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	if q.tokenTaken && status == http.StatusServiceUnavailable {
		// The request did not run, so it does not count against the rate limit.
		p.Quotas.Return(q.account.Workspace)
	}
	return &berylhttpserver.Answer{Status: status, Header: h}
}

// statusClientClosedRequest is the status in logs and metrics of a request that ended
// without an answer. It is never sent.
const statusClientClosedRequest = 499

// recordRequest logs the end of a request and reports it to the metrics.
func (p *Proxy) recordRequest(q *request, a *berylhttpserver.Answer) {
	took := time.Since(q.ReceivedAt)
	rule, workspace := "", ""
	if q.rule != nil {
		rule = q.rule.Name
	}
	if q.account != nil {
		workspace = q.account.Workspace
	}
	status := a.Status
	if a.Abort {
		status = statusClientClosedRequest
	}
	p.Observe(workspace, rule, status, q.reason, took)
	state := p.State()
	event := p.Log.Info().Str("id", q.Header.Get(p.Names.RequestID)).Str("rule", rule).Int("status", status).
		Dur("ms", took).Int("tries", q.attempts).Int64("change", state.ChangeRevision).Dur("age", p.StateAge())
	if state.Config != nil {
		event = event.Int64("version", state.Config.Version)
	}
	if workspace != "" {
		event = event.Str("workspace", workspace)
	}
	if q.outgoing != nil {
		event = event.Str("service", q.outgoing.Service).Int64("left", q.outgoing.Deadline.Sub(q.ReceivedAt).Milliseconds()).Int64("since", q.elapsed.Milliseconds())
	}
	if q.serverID != "" {
		event = event.Str("server", q.serverID)
	}
	if q.reason != "" {
		event = event.Str("reason", q.reason)
	}
	if q.reason == berylreply.ReasonQuarantined {
		event = event.Str("fingerprint", strconv.FormatUint(q.outgoing.Fingerprint(), 16))
	}
	if limit := a.Header.Get(p.Names.ServerLimit); limit != "" {
		event = event.Str("limit", limit)
	}
	if a.Header.Get(p.Names.ServerLeaving) != "" {
		event = event.Bool("leaving", true)
	}
	if retryAfter := a.Header.Get("Retry-After"); retryAfter != "" {
		event = event.Str("after", retryAfter)
	}
	event.Msg("request")
}
