package berylrunner

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"berylspan/core/beryllifetime"
	"berylspan/io/berylrequest"
	"berylspan/io/berylserverend"
)

// OnServerEnd sets a function that is called when the backend server ended, without having
// announced it, while it ran requests.
func OnServerEnd(f func(berylserverend.ServerEnd)) func(*Runner) {
	return func(r *Runner) { r.onServerEnd = f }
}

// flight is a request that was sent to the backend server and is not answered.
type flight struct {
	req      *berylrequest.Request
	lifetime beryllifetime.Lifetime
	start    time.Time
	brokenAt time.Time // when its connection broke, zero before
	trial    bool
}

// removeFlight records that the server is not running a request any more. If its connection
// broke, a trial lasts until it is known whether the server has ended. The caller holds the lock.
func (r *Runner) removeFlight(f *flight) {
	delete(r.flights, f)
	if r.trial == f && f.brokenAt.IsZero() {
		r.trial = nil
	}
}

const (
	endDialTimeout    = time.Second
	endSettleTime     = 250 * time.Millisecond // in which all connections to a server that ended are seen to break
	endSettleInterval = 10 * time.Millisecond
	brokenTTL         = time.Second // how long a broken connection counts as a sign of an end
	restartTime       = time.Second // from a break until the start of a server that accepts connections right after it
)

// recordBroken records that the connection of a request broke before the answer, and checks
// whether the backend server has ended.
func (r *Runner) recordBroken(f *flight) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f.brokenAt = now
	r.broken = append(slices.DeleteFunc(r.broken, func(f *flight) bool { return now.Sub(f.brokenAt) > brokenTTL }), f)
	if r.endChecks++; r.endChecks > 1 {
		return
	}
	go func() { // Ends within the timeouts above, once no further connection breaks.
		if !r.guard("server end", r.checkServerEnd) {
			r.endChecksFailed()
		}
	}()
}

// endChecksFailed makes the next broken connection start a check again.
func (r *Runner) endChecksFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endChecksDone()
}

// endChecksDone records that no check runs. The caller holds the lock.
func (r *Runner) endChecksDone() {
	r.endChecks = 0
	if r.trial != nil && !r.trial.brokenAt.IsZero() {
		r.trial = nil
	}
}

// checkServerEnd checks whether the backend server still accepts connections, and does so
// again if further connections broke meanwhile.
func (r *Runner) checkServerEnd() {
	for checks := 0; r.moreEndChecks(checks); {
		r.mu.Lock()
		pool := r.pool
		checks = r.endChecks
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), endDialTimeout)
		err := pool.Dial(ctx)
		cancel()
		r.awaitBroken()
		ends := r.takeServerEnds()
		if !errors.Is(err, syscall.ECONNREFUSED) {
			r.setPossibleEnds(ends)
			continue
		}
		for _, end := range ends {
			r.onServerEnd(end)
		}
	}
}

// moreEndChecks reports whether connections broke after the first n of the running checks,
// and ends the checks otherwise.
func (r *Runner) moreEndChecks(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endChecks > n {
		return true
	}
	r.endChecksDone()
	return false
}

// possibleEnd is the end of a server that accepts connections, so that it still runs unless it
// has been started again at once.
type possibleEnd struct {
	berylserverend.ServerEnd
	at time.Time
}

// setPossibleEnds replaces the possible ends, and forgets the broken connections.
func (r *Runner) setPossibleEnds(ends []berylserverend.ServerEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = nil
	if len(ends) == 0 {
		return
	}
	r.possibleEnds = nil
	for _, end := range ends {
		r.possibleEnds = append(r.possibleEnds, possibleEnd{end, time.Now()})
	}
}

// confirmEnds reports that servers ended whose connections broke when the current one started.
// The caller holds the lock.
func (r *Runner) confirmEnds(current beryllifetime.Lifetime) {
	start := time.UnixMilli(current.BornMs)
	for _, end := range r.possibleEnds {
		if end.Lifetime != current && start.Sub(end.at).Abs() < restartTime {
			go r.guard("server end", func() { r.onServerEnd(end.ServerEnd) })
		}
	}
	r.possibleEnds = nil
}

// awaitBroken waits until the connections of all requests that were sent before the first one
// broke are broken too, but not longer than endSettleTime.
func (r *Runner) awaitBroken() {
	for deadline := time.Now().Add(endSettleTime); time.Now().Before(deadline); time.Sleep(endSettleInterval) {
		r.mu.Lock()
		settled := !slices.ContainsFunc(r.broken, func(f *flight) bool { return r.isRunning(f.lifetime) })
		r.mu.Unlock()
		if settled {
			return
		}
	}
}

// isRunning reports whether the backend server still runs a request in the given lifetime that
// was sent before the first connection to it broke. The caller holds the lock.
func (r *Runner) isRunning(lifetime beryllifetime.Lifetime) bool {
	first := slices.IndexFunc(r.broken, func(f *flight) bool { return f.lifetime == lifetime })
	for f := range r.flights {
		if f.lifetime == lifetime && f.brokenAt.IsZero() && f.start.Before(r.broken[first].brokenAt) {
			return true
		}
	}
	return false
}

// takeServerEnds returns the lifetimes that ended and forgets their broken connections. A
// lifetime has not ended while it runs other requests. The end of a server that is leaving, was
// removed from the list or replaced there is planned.
func (r *Runner) takeServerEnds() []berylserverend.ServerEnd {
	entry, known := r.listEntry()
	r.mu.Lock()
	defer r.mu.Unlock()
	byLifetime := map[beryllifetime.Lifetime][]berylserverend.Request{}
	for _, f := range r.broken {
		if !r.isRunning(f.lifetime) {
			byLifetime[f.lifetime] = append(byLifetime[f.lifetime], berylserverend.Request{ID: f.req.ID, Fingerprint: f.req.Fingerprint(), Trial: f.trial})
		}
	}
	r.broken = slices.DeleteFunc(r.broken, func(f *flight) bool { return byLifetime[f.lifetime] != nil })
	var ends []berylserverend.ServerEnd
	for lifetime, requests := range byLifetime {
		removed := !known && r.listed == lifetime
		leaving := (entry.Leaving && entry.Lifetime() == lifetime) || (r.status.Leaving && r.lifetime == lifetime)
		if !removed && !leaving && entry.Born <= lifetime.BornMs {
			ends = append(ends, berylserverend.ServerEnd{Lifetime: lifetime, Requests: requests})
		}
	}
	return ends
}
