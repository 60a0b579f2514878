// Package berylmemorybudget decides what callers may make a process hold in memory.
//
// It answers a load in which a few connections each send many requests ahead, of legal size
// but dear to hold, or read none of their answers. Reading ahead stops first; what cannot be
// held even so is taken from the connections that hold most, so that the next request of an
// ordinary caller is served.
package berylmemorybudget

// Limits are bounds in bytes, besides Ahead. Zero stands for no bound.
type Limits struct {
	Conn  int64 // held for one connection; above it no request is read ahead
	Addr  int64 // held for all connections of one client address
	Total int64 // held for all connections; above half of it no request is read ahead
	Ahead int   // requests that were read while an earlier one of their connection was pending
}

// Shares of the memory of a machine. The rest is for the garbage collector, for the process
// itself and for its sockets.
const (
	totalShare = 4 // Total is this part of the memory
	connShare  = 8 // Conn is this part of Total
	addrShare  = 8 // Addr is Total less this part, which is left for other client addresses
)

// LimitsFor returns the limits for a machine with this many bytes of memory and a process
// that may have this many sockets open. Zero stands for unknown.
func LimitsFor(memory int64, sockets int) Limits {
	total := memory / totalShare
	return Limits{Conn: total / connShare, Addr: total - total/addrShare, Total: total, Ahead: sockets / aheadShare}
}

const aheadShare = 8 // a request that is read ahead may take a connection to another instance

// Costs of what is held, in bytes.
const (
	RequestCost = 8 << 10  // of a request with an ordinary head: its goroutines, context and fields
	LineCost    = 80       // of a header line beyond its bytes: at most a string, a slice and its part of a map; 21 if its name repeats
	ByteCost    = 3        // of each byte of a head: as read, as a field, and in the message to another instance
	StreamCost  = 20 << 10 // of an answer that is passed on while it arrives: its buffers

	evictRatio = 2 // a connection is closed for another that holds at most this part of what it holds
)

// Part of a head that RequestCost covers.
const (
	ordinaryBytes = 2 << 10
	ordinaryLines = 32
)

// ExtraHeadCost returns what a head costs beyond RequestCost.
func ExtraHeadCost(bytes, lines int) int64 {
	return max(HeadCost(bytes, lines)-HeadCost(ordinaryBytes, ordinaryLines), 0)
}

// HeadCost returns what a head of so many bytes and lines costs.
func HeadCost(bytes, lines int) int64 { return int64(bytes)*ByteCost + int64(lines)*LineCost }

// Budget is what is held for all connections. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	total    int64
	ahead    int
	addrs    map[string]int64
	accounts map[*Account]struct{}
}

// Account is what is held for one connection.
type Account struct {
	addr      string
	held      int64
	ahead     int
	evictable bool
	closed    bool
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, addrs: map[string]int64{}, accounts: map[*Account]struct{}{}}
}

// SetLimits sets other limits, from the next charge on.
func (b *Budget) SetLimits(limits Limits) { b.limits = limits }

// Total returns how many bytes are held.
func (b *Budget) Total() int64 { return b.total }

// Open returns the account of a new connection from a client address. A connection that is
// not evictable is never closed for another one.
func (b *Budget) Open(addr string, evictable bool) *Account {
	a := &Account{addr: addr, evictable: evictable}
	b.accounts[a] = struct{}{}
	return a
}

// Close releases all that is held for a connection.
func (b *Budget) Close(a *Account) {
	if a.closed {
		return
	}
	a.closed = true
	b.add(a, -a.held)
	b.ahead -= a.ahead
	delete(b.accounts, a)
}

// Charge adds n bytes to what is held for a connection. It returns the connections to be
// closed for it, whose accounts are closed already, and whether the bytes may be held.
func (b *Budget) Charge(a *Account, n int64) (evicted []*Account, ok bool) {
	for !a.closed {
		overAddr := exceeds(b.addrs[a.addr]+n, b.limits.Addr)
		if !overAddr && !exceeds(b.total+n, b.limits.Total) {
			b.add(a, n)
			return evicted, true
		}
		h := b.heaviest(a, overAddr)
		if h == nil || h.held < evictRatio*(a.held+n) {
			return evicted, false
		}
		b.Close(h)
		evicted = append(evicted, h)
	}
	return evicted, false
}

// Release takes n bytes off what is held for a connection.
func (b *Budget) Release(a *Account, n int64) {
	if !a.closed {
		b.add(a, -n)
	}
}

// MayReadAhead reports whether a connection with a pending request may be read from, if that
// makes n more bytes be held.
func (b *Budget) MayReadAhead(a *Account, n int64) bool {
	return !exceeds(a.held+n, b.limits.Conn) && !exceeds(2*(b.addrs[a.addr]+n), b.limits.Addr) &&
		!exceeds(2*(b.total+n), b.limits.Total) && (b.limits.Ahead == 0 || b.ahead < b.limits.Ahead)
}

// BeginAhead counts a request that is read ahead, if MayReadAhead allows it, until EndAhead.
func (b *Budget) BeginAhead(a *Account, n int64) bool {
	ok := !a.closed && b.MayReadAhead(a, n)
	if ok {
		b.addAhead(a, 1)
	}
	return ok
}

// EndAhead records that such a request has ended.
func (b *Budget) EndAhead(a *Account) { b.addAhead(a, -1) }

func (b *Budget) addAhead(a *Account, n int) {
	if !a.closed {
		a.ahead += n
		b.ahead += n
	}
}

func (b *Budget) add(a *Account, n int64) {
	a.held += n
	b.total += n
	if b.addrs[a.addr] += n; b.addrs[a.addr] == 0 {
		delete(b.addrs, a.addr)
	}
}

// heaviest returns the connection that holds most, other than a, or nil if there is none.
func (b *Budget) heaviest(a *Account, sameAddr bool) *Account {
	var h *Account
	for o := range b.accounts {
		if o != a && o.evictable && (!sameAddr || o.addr == a.addr) && (h == nil || o.held > h.held) {
			h = o
		}
	}
	return h
}

func exceeds(n, limit int64) bool { return limit > 0 && n > limit }
