package beryldemo

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"berylspan/io/berylclock"
)

// inject brings the faults about, each from the fault's begin to its end.
func (d *run) inject(ctx context.Context) {
	if !berylclock.Sleep(ctx, d.fault.from-time.Since(d.record.begun)) {
		return
	}
	d.say("      fault begins: %s", d.opt.Fault)
	for f := range d.faults {
		d.begin(ctx, f)
	}
	if !berylclock.Sleep(ctx, d.fault.to-time.Since(d.record.begun)) {
		return
	}
	d.say("      fault ends")
	for f := range d.faults {
		d.end(f)
	}
}

func (d *run) begin(ctx context.Context, fault string) {
	f := d.fleet
	switch fault {
	case "slow":
		d.slow(slowBy)
	case "cut":
		f.cut(f.shape.zones[len(f.shape.zones)-1], true)
	case "platform":
		f.platform.Down(true)
	case "pause":
		d.fleet.held.Go(func() { d.pause(ctx) })
	case "silent":
		for _, l := range f.links {
			l.Silence()
		}
	case "leave":
		f.leave(f.nodes[0])
	case "withdraw":
		f.platform.Publish(d.shape.lists(d.rates, map[string]bool{workspaces()[7].name: true}))
	}
}

func (d *run) end(fault string) {
	f := d.fleet
	switch fault {
	case "slow":
		d.slow(100)
	case "cut":
		f.cut(f.shape.zones[len(f.shape.zones)-1], false)
	case "platform":
		f.platform.Down(false)
	case "withdraw":
		f.platform.Publish(d.shape.lists(d.rates, nil))
	}
}

const pauseFor = 2 * time.Second

// pause holds up one daemon after the other until the fault ends.
func (d *run) pause(ctx context.Context) {
	for i := 0; d.fault.holds(time.Since(d.record.begun)); i++ {
		n := d.fleet.nodes[i%len(d.fleet.nodes)]
		n.freeze.Hold(ctx, min(pauseFor, d.fault.to-time.Since(d.record.begun)))
	}
}

func (d *run) slow(percent int) {
	for _, n := range d.fleet.nodes {
		if n.service == d.shape.deep {
			n.backend.Slow(percent)
		}
	}
}

// cut parts a data centre from all others.
func (f *fleet) cut(zone string, cut bool) {
	for pair, l := range f.links {
		if pair[0] == zone || pair[1] == zone {
			l.Cut(cut)
		}
	}
}

const leaveWithin = 20 * time.Second

// leave shuts an instance down gracefully.
func (f *fleet) leave(n *node) {
	n.gone.Store(true)
	f.held.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
		defer cancel()
		_ = n.daemon.Stop(ctx)
		f.list()
	})
}

// known checks the name of every fault.
func known(faults map[string]bool) error {
	for f := range faults {
		found := false
		for _, k := range Faults() {
			found = found || k == f
		}
		if !found {
			return eris.Errorf("no fault %q; there are %v", f, Faults())
		}
	}
	return nil
}
