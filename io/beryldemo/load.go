package beryldemo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"berylspan/core/berylrefusal"
	"berylspan/io/berylclock"
	"berylspan/io/berylfaultlink"
	"berylspan/io/berylframe"
	"berylspan/io/berylheader"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/google/uuid"
)

// load sends the callers' calls, each caller repeating hard what fails.
type load struct {
	fleet   *fleet
	record  *record
	clients map[string]*http.Client // by the data centre called
	calls   sync.Map                // target to client
	running sync.WaitGroup
}

const (
	tries    = 3
	pause    = 30 * time.Millisecond
	opWithin = 4 * time.Second
	home     = 0.8 // part of a workspace's calls that go to its own data centre
)

func newLoad(f *fleet, r *record) *load {
	l := &load{fleet: f, record: r, clients: map[string]*http.Client{}}
	for _, z := range f.shape.zones {
		link := berylfaultlink.New(f.shape.client)
		l.clients[z] = beryltransport.HTTP2(link.Dial(beryltransport.NetDial()), nil)
	}
	return l
}

// run sends the calls of one workspace until ctx ends. Rate returns the calls
// per second wanted now.
func (l *load) run(ctx context.Context, w int, rnd *rand.Rand, rate func() float64) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rnd.ExpFloat64() / max(rate(), 0.01) * float64(time.Second)))
		if !berylclock.Sleep(ctx, time.Until(next)) {
			return
		}
		seed := rnd.Uint64()
		l.running.Go(func() { l.op(w, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// op is one call of a caller with its repeats.
func (l *load) op(w int, rnd *rand.Rand) {
	name := workspaces()[w].name
	r := l.choose(rnd)
	id, _ := uuid.NewV7()
	o := l.record.begin(w, r)
	ctx, cancel := context.WithTimeout(context.Background(), opWithin)
	defer cancel()
	for try := range tries {
		n := l.node(w, r.Service, rnd)
		if n == nil {
			break
		}
		l.record.try(name)
		err := l.call(ctx, n, name, r, id.String())
		l.record.tried(name, err)
		if err == nil {
			l.record.done(o, true)
			return
		}
		if ctx.Err() != nil || try == tries-1 {
			break
		}
		if run, _, _ := refusal(err); run == "" {
			// The outcome is known; the next try is another operation.
			id, _ = uuid.NewV7()
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(pause))))
	}
	l.record.done(o, false)
}

func (l *load) choose(rnd *rand.Rand) *route {
	at := rnd.Float64()
	for i := range l.fleet.shape.routes {
		r := &l.fleet.shape.routes[i]
		if at < r.part {
			return r
		}
		at -= r.part
	}
	return &l.fleet.shape.routes[0]
}

// node picks an instance of the service, mostly of the workspace's own data
// centre.
func (l *load) node(w int, service string, rnd *rand.Rand) *node {
	zone := l.fleet.shape.zones[w%len(l.fleet.shape.zones)]
	var near, all []*node
	for _, n := range l.fleet.nodes {
		if n.service != service || n.gone.Load() {
			continue
		}
		all = append(all, n)
		if n.zone == zone {
			near = append(near, n)
		}
	}
	if len(near) > 0 && rnd.Float64() < home {
		return near[rnd.IntN(len(near))]
	}
	if len(all) == 0 {
		return nil
	}
	return all[rnd.IntN(len(all))]
}

type callTarget struct{ addr, path string }

func (l *load) client(n *node, path string) *connect.Client[berylframe.Frame, berylframe.Frame] {
	t := callTarget{n.callers, path}
	if c, ok := l.calls.Load(t); ok {
		found, _ := c.(*connect.Client[berylframe.Frame, berylframe.Frame])
		return found
	}
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](l.clients[n.zone], "http://"+n.callers+path, connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	l.calls.Store(t, c)
	return c
}

// errNotWhole says that an answer differs from the one expected.
var errNotWhole = errors.New("the answer was not whole")

func (l *load) call(ctx context.Context, n *node, name string, r *route, id string) error {
	body := []byte(fmt.Sprintf(`{"id":%q}`, id))
	req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: body})
	req.Header().Set(berylheader.Key, keyOf(name))
	if !r.Idempotent {
		req.Header().Set(berylheader.Idempotency, id)
	}
	if r.Streaming {
		return l.stream(ctx, n, r, req)
	}
	res, err := l.client(n, r.Path).CallUnary(ctx, req)
	if err != nil {
		return err
	}
	if !bytes.Equal(res.Msg.Data, body) {
		return errNotWhole
	}
	return nil
}

func (l *load) stream(ctx context.Context, n *node, r *route, req *connect.Request[berylframe.Frame]) error {
	s, err := l.client(n, r.Path).CallServerStream(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	chunks := 0
	for s.Receive() {
		if len(s.Msg().Data) == r.work.Size {
			chunks++
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	if chunks != r.work.Chunks {
		return errNotWhole
	}
	return nil
}

// refusal returns what a failed call says of itself.
func refusal(err error) (run, reason, id string) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return berylrefusal.Unknown, "none", ""
	}
	return ce.Meta().Get(berylheader.Run), ce.Meta().Get(berylheader.Reason), ce.Meta().Get(berylheader.Call)
}
