package berylenter

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylhop"
	"berylspan/core/berylnames"
	"berylspan/io/berylface"
	"berylspan/io/berylreply"
)

// strip removes what must not reach a backend server: fields of the connection,
// the key, and those that only instances set.
func strip(h http.Header, n berylnames.Names) {
	berylhop.Strip(h)
	for _, name := range []string{n.Key, n.Workspace, n.Caller, n.Instance, "Content-Length", "Expect"} {
		delete(h, name)
	}
}

// closer runs a function after a body is closed.
type closer struct {
	io.ReadCloser
	then func()
}

// Close closes the body.
func (c *closer) Close() error {
	defer c.then()
	return c.ReadCloser.Close()
}

// answer passes on a backend server's answer; then is called when its body has
// been written.
func (e *Enter) answer(out *berylreply.Reply, then context.CancelFunc) *berylface.Answer {
	a := &berylface.Answer{Status: out.Status, Header: out.Header, Body: out.Body, Length: out.Length}
	delete(a.Header, "Content-Length")
	if out.Stream == nil {
		then()
		return a
	}
	a.Stream = &closer{ReadCloser: out.Stream, then: then}
	return a
}

// refuse makes an answer of this instance. After is when the caller may return,
// 0 when that would not help.
func (e *Enter) refuse(q *request, status int, reason string, after time.Duration) *berylface.Answer {
	q.reason = reason
	h := http.Header{}
	if id := q.Header.Get(e.Names.Request); id != "" {
		h[e.Names.Request] = []string{id}
	}
	if after > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	if q.counted && status == http.StatusServiceUnavailable {
		// It did not run, so it does not count.
		e.Quotas.Return(q.account.Workspace)
	}
	return &berylface.Answer{Status: status, Header: h}
}

// callerLeft stands in logs and metrics for a request without an answer; it is
// never sent.
const callerLeft = 499

// record logs and counts the end of a request.
func (e *Enter) record(q *request, a *berylface.Answer) {
	took := time.Since(q.At)
	rule, workspace := "", ""
	if q.rule != nil {
		rule = q.rule.Name
	}
	if q.account != nil {
		workspace = q.account.Workspace
	}
	status := a.Status
	if a.Abort {
		status = callerLeft
	}
	e.Observe(workspace, rule, status, q.reason, took)
	s := e.State()
	l := e.Log.Info().Str("id", q.Header.Get(e.Names.Request)).Str("rule", rule).Int("status", status).
		Dur("ms", took).Int("tries", q.tries).Int64("change", s.ChangeRevision).Dur("age", e.Age())
	if s.Config != nil {
		l = l.Int64("version", s.Config.Version)
	}
	if workspace != "" {
		l = l.Str("workspace", workspace)
	}
	if q.work != nil {
		l = l.Str("service", q.work.Service).Int64("left", q.work.Until.Sub(q.At).Milliseconds()).Int64("since", q.age.Milliseconds())
	}
	if q.server != "" {
		l = l.Str("server", q.server)
	}
	if q.reason != "" {
		l = l.Str("reason", q.reason)
	}
	if after := a.Header.Get("Retry-After"); after != "" {
		l = l.Str("after", after)
	}
	l.Msg("request")
}
