// Package berylgossip exchanges short words between instances over datagrams.
package berylgossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Gossip is safe for concurrent use.
type Gossip struct {
	conn *net.UDPConn
	port uint16
	hear func(host string, w Word)

	mu    sync.Mutex
	peers map[string]*Peer
}

const (
	mostWord   = 16 << 10 // bytes
	forgetPeer = 30 * time.Second
)

// New returns a gossip on conn that sends to the given port of other instances.
// Hear is called on the receiving goroutine.
func New(conn *net.UDPConn, port uint16, hear func(host string, w Word)) *Gossip {
	return &Gossip{conn: conn, port: port, hear: hear, peers: map[string]*Peer{}}
}

// Run receives until the connection is closed.
func (g *Gossip) Run(ctx context.Context) {
	buf := make([]byte, mostWord)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			continue // An earlier datagram could not be delivered.
		}
		var w Word
		if cbor.Unmarshal(buf[:n], &w) != nil {
			continue // Not from an instance.
		}
		host := from.Addr().Unmap().String()
		if g.note(host, w) {
			g.hear(host, w)
		}
	}
}

// note keeps a word and tells whether it is not older than the last one.
func (g *Gossip) note(host string, w Word) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[host]
	if p == nil {
		p = &Peer{Host: host}
		g.peers[host] = p
	}
	if w.Start < p.Word.Start || (w.Start == p.Word.Start && p.Word.Leaving && !w.Leaving) {
		return false
	}
	p.Heard, p.Word = time.Now(), w
	return true
}

// Peers returns the instances heard lately, by host.
func (g *Gossip) Peers() []Peer {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Peer, 0, len(g.peers))
	for host, p := range g.peers {
		if now.Sub(p.Heard) > forgetPeer {
			delete(g.peers, host)
			continue
		}
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Send tells the hosts a word. Datagrams that get lost are made up for by the
// next word.
func (g *Gossip) Send(hosts []string, w Word) error {
	data, err := cbor.Marshal(w)
	if err != nil {
		return eris.Wrap(err, "gossip")
	}
	for _, host := range hosts {
		ip, err := netip.ParseAddr(host)
		if err != nil {
			continue // The list names an instance without an IP address.
		}
		// A full or closed socket; the next word follows soon.
		_, _ = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(ip, g.port))
	}
	return nil
}
