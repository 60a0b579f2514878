// Package berylconnectionlimit decides which connections of callers are closed when there are
// too many.
//
// It answers a load of many connections that are idle, send their requests slowly, or are
// opened and closed in a loop. Those that were idle longest are closed first, then those whose
// requests have been arriving longest. Connections with a request that runs are kept.
package berylconnectionlimit

import (
	"slices"
	"time"
)

// Limit is the number of connections that may be open.
type Limit struct {
	Soft int // above it some are closed for new ones
	Hard int // above it new ones are closed; connections that are being closed count
}

// Shares of the sockets that a process may open.
const (
	softShare = 0.75   // the rest is for peers, backend servers, the store and the readiness port
	hardShare = 0.8125 // softShare and connections that are being closed
)

// For returns the limit for a process that may have this many sockets open, 0 for no limit.
func For(sockets int) Limit {
	return Limit{Soft: int(float64(sockets) * softShare), Hard: int(float64(sockets) * hardShare)}
}

// Conn is a connection that may be closed: it is idle, or a request is arriving on it, since
// the given time.
type Conn struct {
	Arriving bool
	Since    time.Time
}

const (
	batchShare = 32          // so many closed at once that this does not happen for each new one
	slowAfter  = time.Second // a request that has been arriving for less is not slow
)

// Choose returns the indices of the connections to be closed while n are open.
func (l Limit) Choose(n int, conns []Conn, now time.Time) []int {
	if l.Soft == 0 || n < l.Soft {
		return nil
	}
	var chosen []int
	for i, c := range conns {
		if !c.Arriving || now.Sub(c.Since) >= slowAfter {
			chosen = append(chosen, i)
		}
	}
	slices.SortFunc(chosen, func(i, j int) int {
		a, b := conns[i], conns[j]
		if a.Arriving != b.Arriving {
			if b.Arriving {
				return -1
			}
			return 1
		}
		return a.Since.Compare(b.Since)
	})
	return chosen[:min(len(chosen), n-l.Soft+max(l.Soft/batchShare, 1))]
}

// Accepts reports whether a new connection may be kept while n are open.
func (l Limit) Accepts(n int) bool { return l.Hard == 0 || n < l.Hard }
