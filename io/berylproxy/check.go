package berylproxy

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylbackoff"
	"berylspan/core/berylhomes"
	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylrule"
	"berylspan/core/berylsplitter"
	"berylspan/core/beryltimelimit"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylupload"

	"github.com/cespare/xxhash/v2"
)

// Reasons for refusing a request before it is sent to any instance.
const (
	reasonNoConfig    = "no configuration"
	reasonNoRequestID = "no request id"
	reasonNoRule      = "no rule"
	reasonUnknownKey  = "unknown key"
	reasonBodyTooLong = "body too long"
	reasonOverRate    = "over the rate"
	reasonNoInstance  = "no instance"
	reasonNoTimeLeft  = "no time left"
	reasonMemory      = "memory"
)

// request is the state of a caller's request while it is served.
type request struct {
	*berylhttpserver.Request
	rule       *berylrule.Rule
	homes      berylhomes.Homes // regions in which it may run
	account    *berylaccount.Account
	tokenTaken bool // whether a rate limit token of the workspace was taken
	outgoing   *berylrequest.Request
	upload     *berylupload.Upload // streamed body, nil without one
	elapsed    time.Duration       // estimate of the time spent on it before it came to this instance

	attempts  int
	sentAt    time.Time     // of the last attempt
	serverID  string        // backend server of the last attempt
	queueTime time.Duration // spent in the queues of backend servers
	reason    string
}

const (
	maxTimeout         = 30 * time.Second       // also applies to requests and rules without a timeout
	startupRetryDelay  = 500 * time.Millisecond // while no configuration is known, which is normal shortly after the start
	rankStride         = 10                     // distance between the ranks of workspaces, so that the ranks of rules fit in between
	minQuotaRetryDelay = 300 * time.Millisecond
)

// MustRunInOrder reports whether a pipelined request must not run before the answers
// to earlier requests on its connection are written. When one of these answers ends
// the connection, the request counts as not read, so it must not have run unless it
// may run twice.
func (p *Proxy) MustRunInOrder(r *berylhttpserver.Request) bool {
	config := p.State().Config
	if config == nil {
		return true
	}
	rule := config.Match(r.Host, r.Path)
	return rule == nil || !rule.Idempotent
}

// IsNested reports whether a request is a call that a backend server makes while it runs
// another request.
func (p *Proxy) IsNested(r *berylhttpserver.Request) bool {
	config := p.State().Config
	if config == nil {
		return false
	}
	rule := config.Match(r.Host, r.Path)
	return rule != nil && isNested(config, rule, r.Header.Get(p.Names.APIKey))
}

func isNested(config *berylhttpconfig.Config, rule *berylrule.Rule, key string) bool {
	return config.RequireKey && rule.AuthExempt && key == ""
}

// RuleName returns the name of the rule in force for a host and path, or "" if there is none.
func (p *Proxy) RuleName(host, path string) string {
	if config := p.State().Config; config != nil {
		if rule := config.Match(host, path); rule != nil {
			return rule.Name
		}
	}
	return ""
}

// check validates a request and prepares it for sending. It returns nil, or an answer
// if the request is refused.
func (p *Proxy) check(ctx context.Context, q *request) *berylhttpserver.Answer {
	config := p.State().Config
	if config == nil {
		return p.refuse(q, http.StatusServiceUnavailable, reasonNoConfig, startupRetryDelay)
	}
	id := q.Header.Get(p.Names.RequestID)
	if id == "" || q.Method == http.MethodConnect {
		return p.refuse(q, http.StatusBadRequest, reasonNoRequestID, 0)
	}
	q.rule = config.Match(q.Host, q.Path)
	if q.rule == nil {
		return p.refuse(q, http.StatusNotFound, reasonNoRule, 0)
	}
	key := q.Header.Get(p.Names.APIKey)
	if config.RequireKey && !q.rule.AuthExempt {
		if q.account = config.AccountByKey(key); q.account == nil {
			return p.refuse(q, http.StatusUnauthorized, reasonUnknownKey, 0)
		}
	}
	if q.Length > config.MaxBodyBytes {
		return p.refuse(q, http.StatusRequestEntityTooLarge, reasonBodyTooLong, 0)
	}
	q.homes = homes(q.rule, q.account)
	p.buildOutgoing(q, config, id, key)
	if !q.outgoing.Deadline.After(time.Now()) {
		return p.refuse(q, http.StatusServiceUnavailable, reasonNoTimeLeft, 0)
	}
	if a := p.checkGrace(q); a != nil {
		return a
	}
	return p.admit(ctx, q, config)
}

// buildOutgoing sets q.outgoing to the request for a backend server.
func (p *Proxy) buildOutgoing(q *request, config *berylhttpconfig.Config, id, key string) {
	timeLeft := maxTimeout
	if ms, err := strconv.ParseInt(q.Header.Get(p.Names.TimeLeft), 10, 64); err == nil && ms < maxTimeout.Milliseconds() {
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	h := q.Header
	stripHeaders(h, p.Names)
	outgoing := &berylrequest.Request{
		ID: id, Method: q.Method, URI: q.URI, Host: q.Host, Header: h, Body: q.Body, Stream: q.Stream, Length: q.Length,
		Rule: q.rule.Name, Idempotent: q.rule.Idempotent, Rank: q.rule.Priority, Caller: p.Service(),
		Nested: isNested(config, q.rule, key),
	}
	if q.Stream != nil {
		q.upload = berylupload.New(q.Stream, berylupload.Hold(q.Hold))
	}
	timeout := timeLeft
	if q.rule.Timeout > 0 {
		timeout = min(timeout, q.rule.Timeout)
	}
	outgoing.Deadline = q.ReceivedAt.Add(timeout)
	if account := q.account; account != nil {
		outgoing.Workspace = account.Workspace
		if account.HasPriority {
			outgoing.Rank = account.Priority*rankStride + min(q.rule.Priority, rankStride-1)
		}
	}
	if !outgoing.Nested && timeLeft < maxTimeout {
		q.elapsed = p.timeElapsed(q.rule.Name, timeLeft)
	}
	target := q.rule.TargetLatency
	if target <= 0 {
		target = timeout
	}
	outgoing.TargetTime = q.ReceivedAt.Add(target - q.elapsed)
	if outgoing.Stream != nil {
		outgoing.StreamFingerprint = outgoing.Fingerprint()
	}
	q.outgoing = outgoing
}

// timeElapsed returns how long the caller of a request of the rule has waited already.
func (p *Proxy) timeElapsed(rule string, timeLeft time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.timeLimits[rule]
	if limit == nil {
		limit = &beryltimelimit.Estimator{}
		p.timeLimits[rule] = limit
	}
	return limit.Elapsed(timeLeft)
}

// admit chooses the service of a request and applies the rate limit of its workspace.
// It returns nil, or an answer if the request is over the limit.
func (p *Proxy) admit(ctx context.Context, q *request, config *berylhttpconfig.Config) *berylhttpserver.Answer {
	p.chooseService(q, config)
	if account := q.account; account != nil && account.Rate > 0 {
		var retryAfter time.Duration
		if q.tokenTaken, retryAfter = p.Quotas.Take(ctx, account, maxTokenWait(time.Until(q.outgoing.TargetTime))); !q.tokenTaken {
			if isStopping(ctx) {
				return p.refuse(q, http.StatusServiceUnavailable, berylreply.ReasonShuttingDown, berylbackoff.MinDelay)
			}
			return p.refuse(q, http.StatusTooManyRequests, reasonOverRate, max(retryAfter, minQuotaRetryDelay))
		}
	}
	return nil
}

// tokenWaitShare is the fraction of the time left until the target that a request may wait
// for a token of its workspace. A retry after a refusal would take longer.
const tokenWaitShare = 1.0 / 8

func maxTokenWait(timeToTarget time.Duration) time.Duration {
	return time.Duration(float64(max(timeToTarget, 0)) * tokenWaitShare)
}

// chooseService sets the service of a request, and the rank and importance that it has
// there.
func (p *Proxy) chooseService(q *request, config *berylhttpconfig.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.outgoing.Service = p.splitter(q.rule).Next(q.rule.Destinations)
	if q.outgoing.Nested {
		q.outgoing.Rank = p.CallRank(q.rule.Name)
	}
	q.outgoing.Importance = config.PrioritySteps(q.rule, q.account)
}

// retryDelay returns the Retry-After time of a request that was refused because of
// overload. room is the expected time until there is room for it, 0 if unknown.
func retryDelay(q *request, room time.Duration) time.Duration {
	return berylbackoff.DelayUntilRoom(room, time.Until(q.outgoing.TargetTime), time.Until(q.outgoing.Deadline), random())
}

func (p *Proxy) splitter(rule *berylrule.Rule) *berylsplitter.Splitter {
	splitter := p.splitters[rule.Name]
	if splitter == nil {
		phase := float64(xxhash.Sum64String(p.Host+rule.Name)) / math.MaxUint64
		splitter = berylsplitter.New(rule.Destinations, phase)
		p.splitters[rule.Name] = splitter
	}
	return splitter
}

// Serve handles one request of a caller and returns its answer.
func (p *Proxy) Serve(ctx context.Context, r *berylhttpserver.Request) *berylhttpserver.Answer {
	q := &request{Request: r}
	a := p.check(ctx, q)
	if a == nil {
		if q.outgoing.Nested {
			p.CallStarted(q.rule.Name)
		}
		a = p.run(ctx, q)
		if q.outgoing.Nested {
			p.CallEnded(time.Since(q.ReceivedAt), q.queueTime, a.Abort || a.Status >= http.StatusInternalServerError)
		}
	}
	a.OmitBody = r.Method == http.MethodHead
	p.recordRequest(q, a)
	return a
}
