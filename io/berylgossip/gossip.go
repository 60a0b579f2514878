// Package berylgossip exchanges heartbeats and other short messages between
// instances over UDP.
package berylgossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"berylspan/io/berylpanic"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Gossip sends and receives messages on one UDP socket and keeps the last heartbeat
// of every peer. It is safe for concurrent use.
type Gossip struct {
	conn        *net.UDPConn
	port        uint16
	onHeartbeat func(host string, hb Heartbeat)
	onData      func(host string, data []byte)
	onCrashes   func(host string, data []byte)
	guard       func(part string, f func()) bool

	mu       sync.Mutex
	peers    map[string]*Peer // by host
	snapshot []Peer           // result of Peers, nil after a change
	expires  time.Time        // of the first peer in snapshot
}

const (
	maxDatagramBytes = 16 << 10
	peerTTL          = 30 * time.Second // since the last heartbeat
)

// The first byte of a datagram.
const (
	kindHeartbeat = 'w'
	kindData      = 'o'
	kindCrashes   = 'c'
)

// New returns a gossip on conn that sends to the given port of other instances. The
// goroutine of Run calls onHeartbeat with every heartbeat that is not outdated and
// onData with what SendData has sent.
func New(conn *net.UDPConn, port uint16, onHeartbeat func(host string, hb Heartbeat), onData func(host string, data []byte), opts ...func(*Gossip)) *Gossip {
	g := &Gossip{conn: conn, port: port, onHeartbeat: onHeartbeat, onData: onData, onCrashes: func(string, []byte) {}, guard: berylpanic.Unguarded, peers: map[string]*Peer{}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// OnCrashes sets the function that the goroutine of Run calls with what SendCrashes has sent.
func OnCrashes(f func(host string, data []byte)) func(*Gossip) {
	return func(g *Gossip) { g.onCrashes = f }
}

// Guard sets the function that runs the handling of one datagram and reports whether it
// returned without a panic.
func Guard(run func(part string, f func()) bool) func(*Gossip) {
	return func(g *Gossip) { g.guard = run }
}

// Run receives messages until the socket is closed.
func (g *Gossip) Run(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			continue // The error is about an earlier datagram that could not be delivered.
		}
		g.guard("datagram", func() { g.handle(from.Addr().Unmap().String(), buf[:n]) })
	}
}

// handle handles one datagram. One that is malformed is not from an instance and ignored.
func (g *Gossip) handle(host string, datagram []byte) {
	if len(datagram) == 0 {
		return
	}
	switch kind, data := datagram[0], datagram[1:]; kind {
	case kindData:
		g.onData(host, data)
	case kindCrashes:
		g.onCrashes(host, data)
	case kindHeartbeat:
		var hb Heartbeat
		if cbor.Unmarshal(data, &hb) == nil && g.recordHeartbeat(host, hb) {
			g.onHeartbeat(host, hb)
		}
	}
}

// recordHeartbeat stores a heartbeat and reports whether it did. A heartbeat of an
// earlier epoch is outdated, and so is one that arrives after another of the same
// epoch has said that the instance is leaving, but does not say so itself.
func (g *Gossip) recordHeartbeat(host string, hb Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[host]
	if p == nil {
		p = &Peer{Host: host}
		g.peers[host] = p
	}
	if hb.Epoch < p.Heartbeat.Epoch || (hb.Epoch == p.Heartbeat.Epoch && p.Heartbeat.Leaving && !hb.Leaving) {
		return false
	}
	p.LastSeen, p.Heartbeat = time.Now(), hb
	g.snapshot = nil
	return true
}

// Peers returns the instances that sent a heartbeat within peerTTL, sorted by host. The
// result is shared and must not be changed.
func (g *Gossip) Peers() []Peer {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snapshot == nil || now.After(g.expires) {
		g.buildSnapshot(now)
	}
	return g.snapshot
}

// buildSnapshot removes the peers that have expired.
func (g *Gossip) buildSnapshot(now time.Time) {
	g.expires = now.Add(peerTTL)
	hosts := make([]string, 0, len(g.peers))
	for host, p := range g.peers {
		expires := p.LastSeen.Add(peerTTL)
		if now.After(expires) {
			delete(g.peers, host)
			continue
		}
		if expires.Before(g.expires) {
			g.expires = expires
		}
		hosts = append(hosts, host)
	}
	slices.Sort(hosts) // Moving strings is cheaper than moving peers.
	g.snapshot = make([]Peer, 0, len(hosts))
	for _, host := range hosts {
		g.snapshot = append(g.snapshot, *g.peers[host])
	}
}

// SendHeartbeat sends a heartbeat to the hosts. A lost datagram is not sent again,
// because the next heartbeat replaces it.
func (g *Gossip) SendHeartbeat(hosts []string, hb Heartbeat) error {
	data, err := cbor.Marshal(hb)
	if err != nil {
		return eris.Wrap(err, "gossip")
	}
	data = append([]byte{kindHeartbeat}, data...)
	for _, host := range hosts {
		g.write(host, data)
	}
	return nil
}

// SendData sends data to one host. It may be lost.
func (g *Gossip) SendData(host string, data []byte) {
	g.write(host, append([]byte{kindData}, data...))
}

// SendCrashes sends data about ends of backend servers to the hosts. It may be lost.
func (g *Gossip) SendCrashes(hosts []string, data []byte) {
	data = append([]byte{kindCrashes}, data...)
	for _, host := range hosts {
		g.write(host, data)
	}
}

func (g *Gossip) write(host string, data []byte) {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return // The published list holds an instance without an IP address.
	}
	// Fails when the socket buffer is full or the socket is closed. The next heartbeat
	// or request makes up for the loss.
	_, _ = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(ip, g.port))
}
