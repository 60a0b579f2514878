// Package berylpeer passes calls between daemons: Send on the side of the
// chooser, the handler on the side of the instance chosen.
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

// Send runs the call at another instance.
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
		out.RetriesLeft = unused(out.Refusal, c.RetriesLeft)
		return out
	}
	read(out, c)
	return out
}

// unused is what is certainly left of the allowance when no answer came.
func unused(r *berylrefusal.Refusal, left int) int {
	if r.MayHaveRun {
		return 0
	}
	return left
}

// read takes from the answer's headers, or a stream's trailers, what the other
// daemon says.
func read(out *beryloutcome.Outcome, c *berylcall.Call) {
	h := out.Header
	if h.Get(berylheader.Left) == "" {
		h = out.Trailer
	}
	out.RetriesLeft = min(max(number(h, berylheader.Left), 0), c.RetriesLeft)
	out.Threshold = decimal(h, berylheader.Cut)
	out.PathThreshold = decimal(h, berylheader.Path)
	out.ExpectedWait = time.Duration(number(h, berylheader.Wait)) * time.Microsecond
	if id := h.Get(berylheader.Call); id != c.ID {
		text := "another daemon answered another call"
		r := berylrefusal.NewMaybeRun(berylrefusal.Answer, connect.CodeUnavailable, text)
		*out = beryloutcome.Outcome{RetriesLeft: out.RetriesLeft, Refusal: r, StreamStarted: out.StreamStarted}
		return
	}
	run := h.Get(berylheader.Run)
	if out.Err == nil || run == "" {
		return
	}
	r := &berylrefusal.Refusal{
		Reason:     h.Get(berylheader.Reason),
		Code:       out.Err.Code(),
		MayHaveRun: run != berylrefusal.NotRun,
		RetryAfter: time.Duration(number(h, berylheader.After)) * time.Second,
		Text:       text(out.Err.Message(), run),
	}
	out.Err, out.Refusal = nil, r
}

// text is the refusal's text without the word on whether the call ran.
func text(message, run string) string {
	if n := len(run) + 2; len(message) >= n && message[:n] == run+": " {
		return message[n:]
	}
	return message
}

func number(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return n
}

func decimal(h http.Header, name string) float64 {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil {
		return 0
	}
	return f
}
