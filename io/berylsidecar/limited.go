package berylsidecar

import (
	"time"

	"berylspan/core/berylconnectionlimit"
	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylhttpserver"
)

const (
	// DefaultMaxHeaderLines is more than fit in a head of berylhttpconfig.DefaultMaxHeaderBytes.
	DefaultMaxHeaderLines = 8192

	minLineBytes = 3 // of a header line: a name, a colon and a line feed

	limitedPeer = "request of an instance refused" // there was no memory for it

	callerSocketBytes = 128 << 10 // received and not yet read, that the kernel holds at most for a connection of a caller
)

func memoryLimits(set Settings) berylmemorybudget.Limits {
	return berylmemorybudget.LimitsFor(set.Memory, set.Sockets)
}

func (s *Sidecar) connLimit() berylconnectionlimit.Limit {
	return berylconnectionlimit.For(s.set.Load().Sockets)
}

// maxHeaderLines returns the limit in force. The default is met by no head inside the limit of
// its bytes.
func (s *Sidecar) maxHeaderLines(maxHeaderBytes int) int {
	if n := s.set.Load().MaxHeaderLines; n > 0 {
		return n
	}
	return max(DefaultMaxHeaderLines, maxHeaderBytes/minLineBytes)
}

const limitedLogInterval = time.Second // between two log lines of a kind

// limited counts and logs what was done about a caller or an instance beyond a limit.
func (s *Sidecar) limited(kind string) {
	s.meter.limited.WithLabelValues(kind).Inc()
	s.limitedMu.Lock()
	n := s.limitedLog.Add(kind, time.Now())
	s.limitedMu.Unlock()
	if n > 0 {
		s.log.Warn().Str("kind", kind).Int("count", n).Int64("held", s.memory.Held()).Int64("most", memoryLimits(*s.set.Load()).Total).
			Int("sockets", s.set.Load().Sockets).Msg("limit reached")
	}
}

func (s *Sidecar) limitedCaller(l berylhttpserver.Limited) { s.limited(string(l)) }

func defaultLimits() berylhttpserver.Limits {
	return berylhttpserver.Limits{
		MaxHeaderBytes: berylhttpconfig.DefaultMaxHeaderBytes, MaxBodyBytes: berylhttpconfig.DefaultMaxBodyBytes,
		HeaderTimeout: berylhttpconfig.DefaultHeaderTimeout, IdleTimeout: berylhttpconfig.DefaultIdleTimeout,
	}
}

func (s *Sidecar) limits() berylhttpserver.Limits {
	l := defaultLimits()
	if p := s.cache.State().Config; p != nil {
		l = berylhttpserver.Limits{MaxHeaderBytes: p.MaxHeaderBytes, MaxBodyBytes: p.MaxBodyBytes, HeaderTimeout: p.HeaderTimeout, IdleTimeout: p.IdleTimeout}
	}
	l.MaxHeaderLines = s.maxHeaderLines(l.MaxHeaderBytes)
	return l
}
