package beryldemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/core/berylpolicy"
	"berylspan/io/beryldaemon"
	"berylspan/io/berylfakebackend"
	"berylspan/io/berylfakeplatform"
	"berylspan/io/berylfaultlink"
	"berylspan/io/berylfreeze"
	"berylspan/io/berylserver"
	"berylspan/io/berylsettings"
	"berylspan/io/beryltransport"

	"github.com/rs/zerolog"
)

// fleet is the running stand-ins and daemons.
type fleet struct {
	shape    shape
	policy   string
	guard    *berylinvariant.Guard
	platform *berylfakeplatform.Platform
	server   *berylserver.Server
	links    map[[2]string]*berylfaultlink.Link // between data centres, by their names in order
	mu       sync.Mutex
	zones    map[string]string // data centre by peers' address
	nodes    []*node
	held     sync.WaitGroup // faults under way
}

// node is one instance: a backend server and its daemon.
type node struct {
	id, service, zone string
	backend           *berylfakebackend.Backend
	daemon            *beryldaemon.Daemon
	callers, peers    string
	open              map[string]net.Listener
	freeze            *berylfreeze.Freeze
	gone              atomic.Bool
}

const (
	secret      = "a secret of the demo"
	startWithin = 20 * time.Second
)

func newFleet(s shape, policy string, guard *berylinvariant.Guard, saw func(path string, h http.Header)) (*fleet, error) {
	f := &fleet{
		shape: s, policy: policy, guard: guard,
		platform: berylfakeplatform.New(),
		links:    map[[2]string]*berylfaultlink.Link{},
		zones:    map[string]string{},
	}
	for i, a := range s.zones {
		for _, b := range s.zones[i+1:] {
			f.links[[2]string{a, b}] = berylfaultlink.New(s.delay)
		}
	}
	server, err := berylserver.Start("127.0.0.1:0", f.platform, nil)
	if err != nil {
		return nil, err
	}
	f.server = server
	for _, svc := range s.services {
		for i, slots := range svc.slots {
			n := &node{id: fmt.Sprintf("%s-%d", svc.name, i+1), service: svc.name, zone: s.zones[i%len(s.zones)], open: map[string]net.Listener{}, freeze: berylfreeze.New()}
			n.backend = &berylfakebackend.Backend{Slots: slots, Queue: 4 * slots, Work: f.work, Saw: saw}
			f.nodes = append(f.nodes, n)
		}
	}
	return f, nil
}

func (f *fleet) work(path string) berylfakebackend.Work {
	if r := f.shape.route(path); r != nil {
		return r.work
	}
	return berylfakebackend.Work{}
}

// start publishes the list of instances and starts everything.
func (f *fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	settings := make([]berylsettings.Settings, len(f.nodes))
	for i, n := range f.nodes {
		set, err := f.settings(n)
		if err != nil {
			return err
		}
		settings[i] = set
	}
	f.list()
	var all sync.WaitGroup
	errs := make([]error, len(f.nodes))
	for i, n := range f.nodes {
		all.Go(func() {
			n.daemon, errs[i] = beryldaemon.New(settings[i], zerolog.Nop(), f.options(n)...)
			if errs[i] == nil {
				errs[i] = n.daemon.Start(ctx)
			}
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// settings picks free addresses and starts the backend server.
func (f *fleet) settings(n *node) (berylsettings.Settings, error) {
	set := berylsettings.Default()
	set.ID, set.Service, set.Zone, set.Secret = n.id, n.service, n.zone, secret
	set.Platform = "http://" + f.server.Addr()
	set.Slots = n.backend.Slots
	set.Strict = false
	for _, addr := range []*string{&set.Callers, &set.Peers, &set.Local} {
		ln, err := berylserver.Listen("127.0.0.1:0")
		if err != nil {
			return set, err
		}
		*addr = ln.Addr().String()
		n.open[*addr] = ln
	}
	set.Reach = set.Peers
	n.callers, n.peers = set.Callers, set.Peers
	n.backend.Local = set.Local
	if err := n.backend.Start("127.0.0.1:0"); err != nil {
		return set, err
	}
	set.Backend = n.backend.Addr()
	f.mu.Lock()
	f.zones[set.Peers] = n.zone
	f.mu.Unlock()
	return set, nil
}

func (f *fleet) options(n *node) []func(*beryldaemon.Daemon) {
	policy := berylpolicy.Full()
	switch f.policy {
	case "off":
		policy = berylpolicy.Off()
	case "split":
		policy = berylpolicy.Split(n.backend.Slots)
	}
	return []func(*beryldaemon.Daemon){
		beryldaemon.Policy(policy),
		beryldaemon.Guard(f.guard),
		beryldaemon.Dial(n.freeze.Dial(f.dial(n.zone))),
		beryldaemon.Listen(func(addr string) (net.Listener, error) { return n.freeze.Listener(n.open[addr]), nil }),
	}
}

// dial opens connections from a data centre, over the link to the address's.
func (f *fleet) dial(from string) beryltransport.Dial {
	direct := beryltransport.NetDial()
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		f.mu.Lock()
		to := f.zones[addr]
		f.mu.Unlock()
		if to == "" || to == from {
			return direct(ctx, network, addr)
		}
		return f.link(from, to).Dial(direct)(ctx, network, addr)
	}
}

func (f *fleet) link(a, b string) *berylfaultlink.Link {
	if l := f.links[[2]string{a, b}]; l != nil {
		return l
	}
	return f.links[[2]string{b, a}]
}

// list publishes the instances that are not gone.
func (f *fleet) list() {
	var list []berylinstance.Instance
	for _, n := range f.nodes {
		if n.gone.Load() {
			continue
		}
		list = append(list, berylinstance.Instance{ID: n.id, Service: n.service, Zone: n.zone, PeerAddr: n.peers})
	}
	f.platform.List(list)
}

func (f *fleet) stop(ctx context.Context) {
	f.held.Wait()
	var all sync.WaitGroup
	for _, n := range f.nodes {
		if n.daemon == nil || n.gone.Load() {
			continue
		}
		all.Go(func() { _ = n.daemon.Stop(ctx) })
	}
	all.Wait()
	for _, n := range f.nodes {
		n.backend.Stop()
	}
	_ = f.server.Close()
}

// busy tells for each service the calls that run of the limit, those that wait
// and the lowest admission level.
func (f *fleet) busy() string {
	out := ""
	for _, svc := range f.shape.services {
		limit, running, waiting, level := 0, 0, 0, float64(berylclass.Count)
		for _, n := range f.nodes {
			if n.service != svc.name || n.gone.Load() {
				continue
			}
			l, r, w, cut := n.daemon.Busy()
			limit, running, waiting, level = limit+l, running+r, waiting+w, min(level, cut)
		}
		out += fmt.Sprintf(" %s %d/%d+%d@%.2f", svc.name, running, limit, waiting, level)
	}
	return out
}
