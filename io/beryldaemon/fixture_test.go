package beryldaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"berylspan/core/beryldigest"
	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/io/berylfakebackend"
	"berylspan/io/berylfakeplatform"
	"berylspan/io/berylfaultlink"
	"berylspan/io/berylframe"
	"berylspan/io/berylheader"
	"berylspan/io/berylserver"
	"berylspan/io/berylsettings"
	"berylspan/io/beryltransport"
)

// fixture is a fleet inside the test's process, on real loopback connections.
type fixture struct {
	t        *testing.T
	platform *berylfakeplatform.Platform
	server   *berylserver.Server
	client   *http.Client
	scheme   string
	link     *berylfaultlink.Link
	dial     beryltransport.Dial
	guard    *berylinvariant.Guard
	nodes    []*instance
	work     func(path string) berylfakebackend.Work

	mu   sync.Mutex
	ran  map[string]bool // calls that began, by id
	keys map[string]int  // calls that began, by idempotency key
}

type instance struct {
	set     berylsettings.Settings
	backend *berylfakebackend.Backend
	daemon  *Daemon
	open    map[string]net.Listener
}

const key = "a key"

type listed struct {
	Path       string `json:"path"`
	Service    string `json:"service"`
	Class      string `json:"class,omitempty"`
	Idempotent bool   `json:"idempotent"`
	Inner      bool   `json:"inner"`
	Stream     bool   `json:"stream"`
	Timeout    string `json:"timeout"`
}

func newFixture(t *testing.T, link *berylfaultlink.Link, work func(path string) berylfakebackend.Work, routes ...listed) *fixture {
	f := &fixture{
		t: t, platform: berylfakeplatform.New(), link: link, work: work,
		client: beryltransport.HTTP2(beryltransport.NetDial(), nil), scheme: "http://",
		ran: map[string]bool{}, keys: map[string]int{},
	}
	f.guard = berylinvariant.New(berylinvariant.OnViolation(func(inv, text string) { t.Errorf("violated %s: %s", inv, text) }))
	server, err := berylserver.Start("127.0.0.1:0", f.platform, nil)
	require.NoError(t, err)
	f.server = server
	var callers []string
	for i := range routes {
		routes[i].Timeout = "10s"
		if !routes[i].Inner {
			callers = append(callers, routes[i].Path)
		}
	}
	list, _ := json.Marshal(routes)
	paths, _ := json.Marshal(callers)
	f.platform.Publish(
		fmt.Appendf(nil, `{"workspaces":[{"name":"w","plan":"p","keys":[%q]}]}`, beryldigest.Of(key)),
		fmt.Appendf(nil, `{"zones":[{"name":"z"}],"routes":%s,"plans":[{"name":"p","rate":100000,"burst":100000,"routes":%s}]}`, list, paths))
	t.Cleanup(f.close)
	return f
}

func (f *fixture) close() {
	for _, n := range f.nodes {
		if n.daemon != nil {
			n.daemon.Kill()
		}
		n.backend.Stop()
	}
	_ = f.server.Close()
	f.client.CloseIdleConnections()
}

func (f *fixture) saw(_ string, h http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[h.Get(berylheader.Call)] = true
	if k := h.Get(berylheader.Idempotency); k != "" {
		f.keys[k]++
	}
}

// add prepares an instance of service; start starts all of them.
func (f *fixture) add(id, service string) *instance {
	n := &instance{set: berylsettings.Default(), open: map[string]net.Listener{}}
	n.set.ID, n.set.Service, n.set.Zone, n.set.Secret = id, service, "z", "a secret of the tests"
	n.set.Platform = "http://" + f.server.Addr()
	n.set.Slots = 100
	for _, addr := range []*string{&n.set.Callers, &n.set.Peers, &n.set.Local} {
		ln, err := berylserver.Listen("127.0.0.1:0")
		require.NoError(f.t, err)
		*addr = ln.Addr().String()
		n.open[*addr] = ln
	}
	n.set.Reach = n.set.Peers
	n.backend = &berylfakebackend.Backend{Slots: 100, Queue: 1000, Local: n.set.Local, Work: f.work, Saw: f.saw}
	require.NoError(f.t, n.backend.Start("127.0.0.1:0"))
	n.set.Backend = n.backend.Addr()
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fixture) start() {
	var list []berylinstance.Instance
	for _, n := range f.nodes {
		list = append(list, berylinstance.Instance{ID: n.set.ID, Service: n.set.Service, Zone: "z", PeerAddr: n.set.Peers})
	}
	f.platform.List(list)
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() { f.run(n) })
	}
	all.Wait()
	require.False(f.t, f.t.Failed(), "the fleet did not start")
}

func (f *fixture) run(n *instance) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	dial := f.dial
	if dial == nil {
		dial = beryltransport.NetDial()
	}
	if f.link != nil {
		dial = f.link.Dial(dial)
	}
	d, err := New(n.set, zerolog.Nop(), Guard(f.guard), Dial(dial),
		Listen(func(addr string) (net.Listener, error) {
			if ln := n.open[addr]; ln != nil {
				delete(n.open, addr)
				return ln, nil
			}
			return berylserver.Listen(addr)
		}))
	if err != nil {
		f.t.Errorf("new %s: %v", n.set.ID, err)
		return
	}
	n.daemon = d
	if err := n.daemon.Start(ctx); err != nil {
		f.t.Errorf("start %s: %v", n.set.ID, err)
	}
}

// call makes one unary call with the fixture's key.
func (f *fixture) call(n *instance, path, repeat string, opts ...connect.ClientOption) error {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	opts = append(opts, connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](f.client, f.scheme+n.set.Callers+path, opts...)
	req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: []byte(`{}`)})
	req.Header().Set(berylheader.Key, key)
	if repeat != "" {
		req.Header().Set(berylheader.Idempotency, repeat)
	}
	_, err := c.CallUnary(ctx, req)
	return err
}

func (f *fixture) until(what string, cond func() bool) {
	f.t.Helper()
	require.Eventually(f.t, cond, 20*time.Second, 20*time.Millisecond, what)
}
