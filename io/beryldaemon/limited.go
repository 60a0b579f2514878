package beryldaemon

import (
	"net/http"
	"time"

	"berylspan/core/berylconnectionlimit"
	"berylspan/core/berylmemorybudget"
	"berylspan/core/berylrefusal"
	"berylspan/io/berylheader"
	"berylspan/io/berylmemory"
	"berylspan/io/berylserver"
)

const (
	maxHeaderLines     = 8192        // of a caller's request
	limitedLogInterval = time.Second // between two log lines of a kind
	limitedRetryAfter  = "1"         // s
)

// callerLimits returns what callers may make the daemon hold.
func (d *Daemon) callerLimits() berylserver.Limits {
	return berylserver.Limits{
		Memory:         berylmemory.New(berylmemorybudget.LimitsFor(d.set.Memory, d.set.Sockets)),
		Conns:          berylconnectionlimit.For(d.set.Sockets),
		MaxHeaderLines: maxHeaderLines,
		Refuse:         refuseLimited,
		OnLimited:      d.limited,
	}
}

// refuseLimited refuses a request that was not handled.
func refuseLimited(w http.ResponseWriter, status int) {
	h := w.Header()
	h.Set(berylheader.Run, berylrefusal.NotRun)
	h.Set(berylheader.Reason, "header lines")
	if status == http.StatusServiceUnavailable {
		h.Set(berylheader.Reason, "memory")
		h.Set("Retry-After", limitedRetryAfter)
	}
	w.WriteHeader(status)
}

// limited counts and logs what was done about a caller beyond a limit.
func (d *Daemon) limited(kind string) {
	d.metrics.CountLimited(kind)
	d.limitedMu.Lock()
	n := d.limitedLog.Add(kind, time.Now())
	d.limitedMu.Unlock()
	if n > 0 {
		d.log.Warn().Str("kind", kind).Int("count", n).Int64("memory", d.set.Memory).Int("sockets", d.set.Sockets).Msg("limit reached")
	}
}
