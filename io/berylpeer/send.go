// Package berylpeer forwards calls between daemons: Peer.Send forwards a call to the chosen
// instance, and Peer.Handler serves it there.
package berylpeer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylexchange"
	"berylspan/core/berylinstance"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
)

// Send forwards the call to another instance and returns its outcome.
func (p *Peer) Send(ctx context.Context, to berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	h := make(http.Header, 10)
	h.Set(berylheader.Peer, p.secret)
	h.Set(berylheader.Call, c.ID)
	h.Set(berylheader.Workspace, c.Workspace)
	h.Set(berylheader.Class, strconv.Itoa(int(c.Class)))
	h.Set(berylheader.Rank, strconv.FormatFloat(c.Rank, 'g', 6, 64))
	h.Set(berylheader.Left, strconv.Itoa(c.RetriesLeft))
	h.Set(berylheader.Hops, strconv.Itoa(c.Hops))
	if !c.StartBy.IsZero() {
		h.Set(berylheader.Start, strconv.FormatInt(time.Until(c.StartBy).Microseconds(), 10))
	}
	if c.IdempotencyKey != "" {
		h.Set(berylheader.Repeat, c.IdempotencyKey)
	}
	out := p.relay.Do(ctx, to.PeerAddr, x, h, c.Route.Timeout)
	if out.Refusal != nil {
		out.RetriesLeft = remainingRetries(out.Refusal, c.RetriesLeft)
		return out
	}
	readResult(out, c)
	return out
}

// remainingRetries returns the part of the retry allowance that is certainly unused when no
// answer arrived. If the call may have run, the other daemon may have used all of it.
func remainingRetries(refusal *berylrefusal.Refusal, retriesLeft int) int {
	if refusal.MayHaveRun {
		return 0
	}
	return retriesLeft
}

// readResult reads what the other daemon reported in the headers of the answer, or in the
// trailers of a stream. It turns an answer to another call and an error that the daemon
// marked as a refusal into a refusal.
func readResult(out *beryloutcome.Outcome, c *berylcall.Call) {
	h := out.Header
	if h.Get(berylheader.Left) == "" {
		h = out.Trailer
	}
	out.RetriesLeft = min(max(intHeader(h, berylheader.Left), 0), c.RetriesLeft)
	out.Threshold = floatHeader(h, berylheader.Cut)
	out.PathThreshold = floatHeader(h, berylheader.Path)
	out.ExpectedWait = time.Duration(intHeader(h, berylheader.Wait)) * time.Microsecond
	if id := h.Get(berylheader.Call); id != c.ID {
		text := "another daemon answered another call"
		refusal := berylrefusal.NewMaybeRun(berylrefusal.Answer, connect.CodeUnavailable, text)
		*out = beryloutcome.Outcome{RetriesLeft: out.RetriesLeft, Refusal: refusal, StreamStarted: out.StreamStarted}
		return
	}
	runStatus := h.Get(berylheader.Run)
	if out.Err == nil || runStatus == "" {
		return
	}
	refusal := &berylrefusal.Refusal{
		Reason:     h.Get(berylheader.Reason),
		Code:       out.Err.Code(),
		MayHaveRun: runStatus != berylrefusal.NotRun,
		RetryAfter: time.Duration(intHeader(h, berylheader.After)) * time.Second,
		Text:       trimRunStatus(out.Err.Message(), runStatus),
	}
	out.Err, out.Refusal = nil, refusal
}

// trimRunStatus removes the run status that Refusal.Error puts before the text.
func trimRunStatus(message, runStatus string) string {
	if n := len(runStatus) + 2; len(message) >= n && message[:n] == runStatus+": " {
		return message[n:]
	}
	return message
}

// intHeader returns the value of a header, 0 if it is missing or invalid.
func intHeader(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return n
}

// floatHeader returns the value of a header, 0 if it is missing or invalid.
func floatHeader(h http.Header, name string) float64 {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil {
		return 0
	}
	return f
}
