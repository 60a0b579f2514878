package berylenter

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylbackoff"
	"berylspan/core/berylpublished"
	"berylspan/core/berylrule"
	"berylspan/core/berylsplitter"
	"berylspan/io/berylface"
	"berylspan/io/berylwork"

	"github.com/cespare/xxhash/v2"
)

// Reasons of refusals before anything is sent.
const (
	noConfig   = "no configuration"
	noRequest  = "no request id"
	noRule     = "no rule"
	noKey      = "unknown key"
	overBody   = "body too long"
	overRate   = "over the rate"
	noInstance = "no instance"
	noTime     = "no time left"
)

// request is one request while it is served.
type request struct {
	*berylface.Request
	rule    *berylrule.Rule
	account *berylaccount.Account
	counted bool // a token of the workspace was taken
	work    *berylwork.Work
	age     time.Duration

	tries  int
	server string        // where it was sent last
	waited time.Duration // in line beside servers
	reason string
}

const (
	anyTime    = 30 * time.Second       // for requests and rules without a bound
	startPause = 500 * time.Millisecond // until an instance that just started knows more
	ranksApart = 10                     // between two ranks of workspaces, so that rules' ranks fit between
	quotaPause = 300 * time.Millisecond
)

// Alone tells whether a request must wait until the answers ahead of it on its
// connection are written: one that must not run twice counts as not read when an
// answer before it ends the connection.
func (e *Enter) Alone(r *berylface.Request) bool {
	p := e.State().Config
	if p == nil {
		return true
	}
	rule := p.Match(r.Host, r.Path)
	return rule == nil || !rule.Repeatable
}

// check finds what applies to a request, or refuses it.
func (e *Enter) check(ctx context.Context, q *request) *berylface.Answer {
	p := e.State().Config
	if p == nil {
		return e.refuse(q, http.StatusServiceUnavailable, noConfig, startPause)
	}
	id := q.Header.Get(e.Names.Request)
	if id == "" || q.Method == http.MethodConnect {
		return e.refuse(q, http.StatusBadRequest, noRequest, 0)
	}
	q.rule = p.Match(q.Host, q.Path)
	if q.rule == nil {
		return e.refuse(q, http.StatusNotFound, noRule, 0)
	}
	key := q.Header.Get(e.Names.Key)
	if p.Keyed && !q.rule.Open {
		if q.account = p.Holder(key); q.account == nil {
			return e.refuse(q, http.StatusUnauthorized, noKey, 0)
		}
	}
	if q.Length > p.Body {
		return e.refuse(q, http.StatusRequestEntityTooLarge, overBody, 0)
	}
	e.prepare(q, p, id, key)
	if !q.work.Until.After(time.Now()) {
		return e.refuse(q, http.StatusServiceUnavailable, noTime, 0)
	}
	return e.admit(ctx, q, p)
}

// prepare makes the work of a request.
func (e *Enter) prepare(q *request, p *berylpublished.Published, id, key string) {
	left := anyTime
	if ms, err := strconv.ParseInt(q.Header.Get(e.Names.Left), 10, 64); err == nil && ms < anyTime.Milliseconds() {
		left = time.Duration(ms) * time.Millisecond
	}
	h := q.Header
	strip(h, e.Names)
	w := &berylwork.Work{
		ID: id, Method: q.Method, URI: q.URI, Host: q.Host, Header: h, Body: q.Body, Stream: q.Stream, Length: q.Length,
		Rule: q.rule.Name, Repeatable: q.rule.Repeatable, Rank: q.rule.Rank, Caller: e.Service(),
		Call: p.Keyed && q.rule.Open && key == "",
	}
	bound := left
	if q.rule.Timeout > 0 {
		bound = min(bound, q.rule.Timeout)
	}
	w.Until = q.At.Add(bound)
	if a := q.account; a != nil {
		w.Workspace = a.Workspace
		if a.Ranked {
			w.Rank = a.Rank*ranksApart + min(q.rule.Rank, ranksApart-1)
		}
	}
	e.mu.Lock()
	longest := max(e.longest[q.rule.Name], left)
	e.longest[q.rule.Name] = longest
	e.mu.Unlock()
	if !w.Call && left < anyTime {
		q.age = longest - left
	}
	target := q.rule.Target
	if target <= 0 {
		target = bound
	}
	w.Aim = q.At.Add(target - q.age)
	q.work = w
}

// admit applies the workspace's rate and, at a shortage, the gate.
func (e *Enter) admit(ctx context.Context, q *request, p *berylpublished.Published) *berylface.Answer {
	e.mu.Lock()
	service := e.split(q.rule).Next(q.rule.Parts)
	q.work.Service = service
	if q.work.Call {
		q.work.Rank = e.CallRank(q.rule.Name)
	}
	q.work.Step = p.Steps(q.rule, q.account)
	e.mu.Unlock()
	if a := q.account; a != nil && a.Rate > 0 {
		var after time.Duration
		if q.counted, after = e.Quotas.Take(ctx, a); !q.counted {
			return e.refuse(q, http.StatusTooManyRequests, overRate, max(after, quotaPause))
		}
	}
	return nil
}

// shedPause is when a request that was shed may come back.
func shedPause(q *request) time.Duration {
	return berylbackoff.RetryDelay(time.Until(q.work.Aim), time.Until(q.work.Until), random())
}

func (e *Enter) split(rule *berylrule.Rule) *berylsplitter.Splitter {
	s := e.splits[rule.Name]
	if s == nil {
		phase := float64(xxhash.Sum64String(e.Host+rule.Name)) / math.MaxUint64
		s = berylsplitter.New(rule.Parts, phase)
		e.splits[rule.Name] = s
	}
	return s
}

// Serve serves one request.
func (e *Enter) Serve(ctx context.Context, r *berylface.Request) *berylface.Answer {
	q := &request{Request: r}
	a := e.check(ctx, q)
	if a == nil {
		if q.work.Call {
			e.Called(q.rule.Name)
		}
		a = e.run(ctx, q)
		if q.work.Call {
			e.Returned(time.Since(q.At), q.waited)
		}
	}
	a.Bare = r.Method == http.MethodHead
	e.record(q, a)
	return a
}
