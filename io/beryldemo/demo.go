package beryldemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/berylidempotency"
	"berylspan/core/berylinvariant"
	"berylspan/io/berylclock"
	"berylspan/io/berylframe"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Options selects what the demo runs. Case is huella or karri; Policy off,
// split or full; Fault names faults joined by +, or none.
type Options struct {
	Case   string
	Policy string
	Seed   uint64
	For    time.Duration
	Fault  string
	JSON   bool
	Out    io.Writer
}

// result is what the demo prints with -json.
type result struct {
	Case          string    `json:"case"`
	Policy        string    `json:"policy"`
	Seed          uint64    `json:"seed"`
	Fault         string    `json:"fault"`
	Goodput       float64   `json:"goodput"`
	Capacity      float64   `json:"capacity"`
	Recovery      float64   `json:"recovery"`
	Worst         float64   `json:"worst"`
	Refused       float64   `json:"refused"`
	Amplification float64   `json:"amplification"`
	Added         latencies `json:"added"`
	Violations    int       `json:"violations"`
	Critical      float64   `json:"critical"`
}

// run is one demo.
type run struct {
	opt    Options
	shape  shape
	base   float64 // normal calls per second of all workspaces
	rates  map[string]float64
	guard  *berylinvariant.Guard
	fleet  *fleet
	load   *load
	record *record
	fault  span
	faults map[string]bool
}

const (
	faultFrom = 0.25 // of the run
	faultTo   = 0.65
	stopTime  = 10 * time.Second
	warm      = berylidempotency.MaxClockSkew + 2*time.Second
)

// Faults lists the faults that may be asked for.
func Faults() []string {
	return []string{"none", "surge", "slow", "cut", "platform", "pause", "silent", "leave", "withdraw"}
}

// Run runs the demo and returns the number of violated invariants.
func Run(ctx context.Context, opt Options) (int, error) {
	d, err := newRun(opt)
	if err != nil {
		return 0, err
	}
	if err := d.fleet.start(ctx); err != nil {
		return 0, err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		d.fleet.stop(ctx)
	}()
	d.say("%s: %d daemons started; the owners of shards know enough in %s", d.shape.name, len(d.fleet.nodes), warm)
	if !berylclock.Sleep(ctx, warm) {
		return 0, eris.Wrap(ctx.Err(), "warm-up")
	}
	d.say("%s: %d daemons serve; capacity %.0f whole requests/s", d.shape.name, len(d.fleet.nodes), d.shape.capacity(1))
	add, err := d.measureAdded(ctx)
	if err != nil {
		return 0, err
	}
	if err := d.drive(ctx); err != nil {
		return 0, err
	}
	return d.report(add)
}

func newRun(opt Options) (*run, error) {
	d := &run{opt: opt, faults: map[string]bool{}, rates: map[string]float64{}}
	switch opt.Case {
	case "huella":
		d.shape = huella()
	case "karri":
		d.shape = karri()
	default:
		return nil, eris.Errorf("no case %q", opt.Case)
	}
	for f := range strings.SplitSeq(opt.Fault, "+") {
		d.faults[f] = true
	}
	if err := known(d.faults); err != nil {
		return nil, err
	}
	d.base = d.shape.capacity(1) * normal
	for i, w := range workspaces() {
		d.rates[w.name] = d.base * w.part * surge * room
		if i == 0 {
			d.rates[w.name] = d.base * w.part * room
		}
	}
	d.fault = span{time.Duration(faultFrom * float64(opt.For)), time.Duration(faultTo * float64(opt.For))}
	d.guard = berylinvariant.New(berylinvariant.OnViolation(func(inv, text string) { d.say("VIOLATED %s: %s", inv, text) }))
	d.record = newRecord(&d.shape, d.guard, d.rates)
	f, err := newFleet(d.shape, opt.Policy, d.guard, d.record.saw)
	if err != nil {
		return nil, err
	}
	d.fleet = f
	d.load = newLoad(f, d.record)
	f.platform.Publish(d.shape.lists(d.rates, nil))
	return d, nil
}

func (d *run) say(format string, args ...any) {
	if !d.opt.JSON {
		_, _ = fmt.Fprintf(d.opt.Out, format+"\n", args...)
	}
}

// demand returns the calls per second that a workspace sends now.
func (d *run) demand(w int) float64 {
	part := workspaces()[w].part
	normalRate := d.base * part
	if !d.faults["surge"] || !d.fault.holds(time.Since(d.record.begun)) {
		return normalRate
	}
	if w == 0 {
		return d.rates[workspaces()[0].name] * greedy
	}
	return normalRate * surge
}

func (d *run) drive(ctx context.Context) error {
	d.record.begun = time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.opt.For)
	defer cancel()
	var all sync.WaitGroup
	for w := range workspaces() {
		rnd := rand.New(rand.NewPCG(d.opt.Seed, uint64(w)))
		all.Go(func() { d.load.run(ctx, w, rnd, func() float64 { return d.demand(w) }) })
	}
	all.Go(func() { d.progress(ctx) })
	d.inject(ctx)
	all.Wait()
	d.load.running.Wait()
	d.record.check()
	return nil
}

func (d *run) progress(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			at := time.Since(d.record.begun)
			d.record.mu.Lock()
			good := d.record.goodput(span{at - time.Second, at})
			d.record.mu.Unlock()
			d.say("%4.0f s  %6.0f whole requests/s  %s", at.Seconds(), good, d.fleet.busy())
		}
	}
}

func (d *run) report(add latencies) (int, error) {
	r := d.record
	slow := 1.0
	if d.faults["slow"] {
		slow = slowBy / 100.0
	}
	capacity := d.shape.capacity(slow)
	// The first second of the fault shows the change, the rest the policy.
	at := span{d.fault.from + min(time.Second, (d.fault.to-d.fault.from)/4), d.fault.to}
	name, worst, parts := r.worst(at, slow, d.rates)
	res := result{
		Case: d.opt.Case, Policy: d.opt.Policy, Seed: d.opt.Seed, Fault: d.opt.Fault,
		Goodput: round(r.goodput(at)), Capacity: round(capacity),
		Recovery: round(r.recovery(d.fault.to, d.opt.For-second).Seconds()),
		Worst:    round(worst), Amplification: round(r.amplification()), Added: add,
		Violations: d.guard.Total(),
		Critical:   round(r.success(at, func(o *op) bool { return o.route.Class == berylclass.Critical })),
	}
	res.Refused = round(r.refused())
	if d.opt.JSON {
		return res.Violations, eris.Wrap(json.NewEncoder(d.opt.Out).Encode(res), "report")
	}
	d.say("")
	d.say("goodput         %8.1f whole requests/s of %.1f that fit", res.Goodput, res.Capacity)
	d.say("recovery        %8.2f s", res.Recovery)
	d.say("worst served    %8.3f of its share (%s)", res.Worst, name)
	d.say("parts of shares %8.2f", parts)
	d.say("refused         %8.4f of the calls within their rate", res.Refused)
	d.say("amplification   %8.3f calls of %s per call needed", res.Amplification, d.shape.deep)
	d.say("added latency   %8.3f ms p50, %.3f ms p99", add.P50, add.P99)
	d.say("critical calls  %8.3f got a whole answer", res.Critical)
	d.say("violations      %8d", res.Violations)
	d.say("failed tries by reason: %v", r.reasons)
	return res.Violations, nil
}

const second = time.Second

func round(f float64) float64 { return math.Round(f*1e4) / 1e4 }

const (
	pairs     = 1000
	pairEvery = time.Millisecond
	pairPath  = "/catalog.Catalog/Pair"
)

// measureAdded calls one backend server directly and through its daemon, in
// turn, at a steady rate, without the delay between callers and data centres.
func (d *run) measureAdded(ctx context.Context) (latencies, error) {
	n := d.fleet.nodes[0]
	client := beryltransport.HTTP2(beryltransport.NetDial(), nil)
	defer client.CloseIdleConnections()
	var direct, through []time.Duration
	for i := range pairs {
		at := time.Now()
		addr, into := n.backend.Addr(), &direct
		if i%2 == 1 {
			addr, into = n.callers, &through
		}
		if err := pair(ctx, client, addr); err != nil {
			return latencies{}, err
		}
		*into = append(*into, time.Since(at))
		time.Sleep(time.Until(at.Add(pairEvery)))
	}
	return added(direct[10:], through[10:]), nil
}

func pair(ctx context.Context, client *http.Client, addr string) error {
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](client, "http://"+addr+pairPath, connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: []byte(`{}`)})
	_, err := c.CallUnary(ctx, req)
	return eris.Wrap(err, "pair")
}
