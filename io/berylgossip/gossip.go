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
	more func(host string, data []byte)

	mu    sync.Mutex
	peers map[string]*Peer
}

const (
	mostWord   = 16 << 10 // bytes
	forgetPeer = 30 * time.Second
)

// The first byte of a datagram.
const (
	kindWord  = 'w'
	kindOther = 'o'
)

// New returns a gossip on conn that sends to the given port of other instances.
// Hear is called on the receiving goroutine with every word that is not older
// than the one before, and more with what Pass has sent.
func New(conn *net.UDPConn, port uint16, hear func(host string, w Word), more func(host string, data []byte)) *Gossip {
	return &Gossip{conn: conn, port: port, hear: hear, more: more, peers: map[string]*Peer{}}
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
		host := from.Addr().Unmap().String()
		if n > 0 && buf[0] == kindOther {
			g.more(host, buf[1:n])
			continue
		}
		var w Word
		if n == 0 || buf[0] != kindWord || cbor.Unmarshal(buf[1:n], &w) != nil {
			continue // Not from an instance.
		}
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
	data = append([]byte{kindWord}, data...)
	for _, host := range hosts {
		g.write(host, data)
	}
	return nil
}

// Pass sends data to one host.
func (g *Gossip) Pass(host string, data []byte) {
	g.write(host, append([]byte{kindOther}, data...))
}

func (g *Gossip) write(host string, data []byte) {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return // The list names an instance without an IP address.
	}
	// A full or closed socket; what was lost is made up for by the next word
	// or question.
	_, _ = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(ip, g.port))
}
