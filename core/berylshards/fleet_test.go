package berylshards_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspan/core/berylagenda"
	"berylspan/core/berylclass"
	"berylspan/core/berylshard"
	"berylspan/core/berylshards"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenbatch"
	"berylspan/core/beryltokencache"
	"berylspan/core/beryltokenrequest"
)

// The fleet below runs the real decisions of many instances on one queue of
// events in virtual time, with every fault that the promises must survive.

//nolint:gochecknoglobals // The flag package needs it.
var long = flag.Int("schedules", 1000, "random schedules to run")

const (
	rate      = 40.0
	burst     = 30.0
	workspace = "w"
	runFor    = 15 * time.Second
)

// schedule is what rapid draws.
type schedule struct {
	seed     uint64
	zones    int
	size     int
	loss     float64
	restarts int
	storms   int
	pauses   int
	cuts     int
	lag      bool
	near     bool
	demand   float64
}

type fleet struct {
	schedule
	term   beryltiming.Timing
	rnd    *rand.Rand
	agenda berylagenda.Scheduler
	nodes  []*node
	names  []string
	cut    map[string]bool

	level    float64 // reference bucket
	levelAt  time.Duration
	broken   int
	spent    int
	excess   float64
	askCount uint64
}

type node struct {
	f       *fleet
	id      string
	zone    string
	epoch   int
	drift   float64
	offset  time.Duration
	paused  time.Duration // until when
	shards  *berylshards.Shards
	holder  *beryltokencache.TokenCache
	owners  map[string]string
	rankOf  map[string]*berylshard.Ranking
	missing string
}

func newFleet(s schedule, term beryltiming.Timing) *fleet {
	f := &fleet{schedule: s, term: term, rnd: rand.New(rand.NewPCG(s.seed, 7)), cut: map[string]bool{}, level: burst}
	for z := range s.zones {
		zone := fmt.Sprintf("z%d", z)
		f.names = append(f.names, zone)
		for i := range s.size {
			n := &node{f: f, id: fmt.Sprintf("%s-%d", zone, i), zone: zone}
			n.drift = 1 + (f.rnd.Float64()-0.5)*term.MaxClockDrift
			n.offset = time.Duration(f.rnd.Int64N(int64(time.Hour)))
			f.nodes = append(f.nodes, n)
		}
	}
	for _, n := range f.nodes {
		n.start()
		n.loop(n.epoch)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) { f.agenda.After(d, do) }

func (f *fleet) jitter(d time.Duration) time.Duration { return time.Duration(f.rnd.Int64N(int64(d))) }

func (f *fleet) run() {
	f.plan()
	f.call()
	f.agenda.RunUntil(runFor)
}

// plan puts the faults of the schedule at random times.
func (f *fleet) plan() {
	for range f.restarts {
		n := f.nodes[f.rnd.IntN(len(f.nodes))]
		f.after(f.jitter(runFor), func() { n.start(); n.loop(n.epoch) })
	}
	for range f.storms {
		zone := f.names[f.rnd.IntN(len(f.names))]
		f.after(f.jitter(runFor), func() { f.storm(zone) })
	}
	for range f.pauses {
		n := f.nodes[f.rnd.IntN(len(f.nodes))]
		f.after(f.jitter(runFor), func() { n.paused = f.agenda.Now() + f.jitter(5*time.Second) })
	}
	for range f.cuts {
		zone := f.names[f.rnd.IntN(len(f.names))]
		f.after(f.jitter(runFor), func() {
			f.cut[zone] = true
			f.after(f.jitter(6*time.Second), func() { delete(f.cut, zone) })
		})
	}
}

// storm restarts every instance of a data centre but the owner of the shard,
// or in half of the cases all.
func (f *fleet) storm(zone string) {
	all := f.rnd.IntN(2) == 0
	for _, n := range f.nodes {
		own, _ := n.shards.Own(n.clock(), 0)
		if n.zone == zone && (all || own == nil) {
			n.start()
			n.loop(n.epoch)
		}
	}
}

// call sends callers' calls at the demand of the schedule, with lulls.
func (f *fleet) call() {
	if f.rnd.IntN(40) == 0 {
		f.after(f.jitter(time.Second), f.call)
		return
	}
	n := f.nodes[f.rnd.IntN(len(f.nodes))]
	if f.near {
		n = f.nodes[f.rnd.IntN(f.size)]
	}
	n.do(func() { n.take(20) })
	f.after(time.Duration(f.rnd.ExpFloat64()/(rate*f.demand)*float64(time.Second)), f.call)
}

// refer counts what the rate would allow and checks what was spent.
func (f *fleet) refer() {
	f.level = min(burst, f.level+(f.agenda.Now()-f.levelAt).Seconds()*rate)
	f.levelAt = f.agenda.Now()
	f.level--
	f.spent++
	if f.level < -1e-6 {
		f.broken++
		f.excess = max(f.excess, -f.level)
	}
}

func (n *node) clock() time.Time {
	return time.Unix(0, 0).Add(n.offset + time.Duration(float64(n.f.agenda.Now())*n.drift))
}

// start is a restart: everything in memory is gone.
func (n *node) start() {
	n.epoch++
	n.shards = berylshards.New(n.id, n.clock(), berylshards.Count(1), berylshards.Term(n.f.term))
	n.holder = beryltokencache.New(n.f.term, func() uint64 { n.f.askCount++; return n.f.askCount })
	n.owners = map[string]string{}
	n.view()
}

// view is the instance's list; with lag it may leave out one other instance.
func (n *node) view() {
	n.rankOf = map[string]*berylshard.Ranking{}
	n.missing = ""
	if n.f.lag && n.f.rnd.IntN(3) == 0 {
		n.missing = n.f.nodes[n.f.rnd.IntN(len(n.f.nodes))].id
	}
	for _, zone := range n.f.names {
		var ids []string
		for _, o := range n.f.nodes {
			if o.zone == zone && (o.id != n.missing || o == n) {
				ids = append(ids, o.id)
			}
		}
		n.rankOf[zone] = berylshard.New(zone, ids)
	}
}

// do runs a step now, or when the instance wakes up, unless it restarts first.
func (n *node) do(step func()) {
	epoch := n.epoch
	if n.f.agenda.Now() < n.paused {
		n.f.after(n.paused-n.f.agenda.Now(), func() {
			if n.epoch == epoch {
				n.do(step)
			}
		})
		return
	}
	step()
}

func (n *node) loop(epoch int) {
	n.f.after(40*time.Millisecond+n.f.jitter(20*time.Millisecond), func() {
		n.do(func() {
			if n.epoch != epoch {
				return
			}
			n.tick()
			n.loop(epoch)
		})
	})
}

func (n *node) tick() {
	if n.f.rnd.IntN(20) == 0 {
		n.view()
	}
	for _, b := range n.shards.Tick(n.clock(), n.rankOf[n.zone]) {
		v := n.f.find(b.Voter)
		n.send(v, func() {
			ok, holder := v.shards.Promise(v.clock(), 0, n.id)
			v.send(n, func() { n.shards.Answer(n.clock(), b.Voter, b.RoundStart, 0, ok, holder) })
		})
	}
	n.fetch()
}

func (f *fleet) find(id string) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// send delivers a message late, twice or never. One to an instance that has
// restarted meanwhile is lost with its connection.
func (n *node) send(to *node, do func()) {
	f := n.f
	copies := 1
	if f.rnd.Float64() < f.loss {
		copies = 2 * f.rnd.IntN(2)
	}
	for range copies {
		d := time.Millisecond + f.jitter(4*time.Millisecond)
		if f.rnd.Float64() < f.loss {
			d += f.jitter(3 * time.Second)
		}
		from, epoch := n.epoch, to.epoch
		f.after(d, func() {
			if n.zone != to.zone && (f.cut[n.zone] || f.cut[to.zone]) {
				return
			}
			if to.epoch == epoch && n.epoch == from {
				to.do(do)
			}
		})
	}
}

func (n *node) zones() []string {
	out := []string{n.zone}
	for _, z := range n.f.names {
		if z != n.zone {
			out = append(out, z)
		}
	}
	return out
}

// take is a caller's call: it waits for a token a few times before it is
// refused.
func (n *node) take(tries int) {
	now := n.clock()
	if tries == 20 {
		n.holder.RecordCall(now, workspace, berylclass.Standard)
		n.holder.AddWaiting(now, workspace, berylclass.Standard, 1)
	}
	if _, ok := n.holder.Take(now, workspace, berylclass.Standard); ok {
		n.holder.AddWaiting(now, workspace, berylclass.Standard, -1)
		n.f.refer()
		return
	}
	n.fetch()
	if tries == 0 {
		n.holder.AddWaiting(now, workspace, berylclass.Standard, -1)
		return
	}
	epoch := n.epoch
	n.f.after(6*time.Millisecond, func() {
		if n.epoch == epoch {
			n.do(func() { n.take(tries - 1) })
		}
	})
}

func (n *node) fetch() {
	zone, ask, ok := n.holder.NextRequest(n.clock(), workspace, n.zones())
	if !ok {
		return
	}
	to := n.f.find(n.owner(zone))
	n.send(to, func() { to.grant(n, zone, ask) })
	epoch := n.epoch
	n.f.after(150*time.Millisecond, func() {
		if n.epoch == epoch {
			n.holder.HandleFailure(n.clock(), workspace, zone, ask.ID)
		}
	})
}

func (n *node) owner(zone string) string {
	if id := n.owners[zone]; id != "" && n.f.rnd.IntN(10) > 0 {
		return id
	}
	top := n.rankOf[zone].Top(3, 0)
	return top[n.f.rnd.IntN(100)*len(top)/130]
}

func (n *node) grant(to *node, zone string, ask beryltokenrequest.Request) {
	now := n.clock()
	own, holder := n.shards.Want(now, 0)
	var b beryltokenbatch.Batch
	if own != nil {
		part := 1 / float64(n.f.zones)
		b = own.Granter.Grant(now, own.Until, ask, rate*part, burst*part)
		holder = n.id
	}
	n.send(to, func() {
		to.owners[zone] = holder
		if own == nil {
			to.holder.HandleFailure(to.clock(), workspace, zone, ask.ID)
			return
		}
		to.holder.HandleBatch(to.clock(), workspace, zone, b)
	})
}

func draw(t *rapid.T) schedule {
	return schedule{
		seed:     rapid.Uint64().Draw(t, "seed"),
		zones:    rapid.IntRange(1, 3).Draw(t, "zones"),
		size:     rapid.IntRange(3, 6).Draw(t, "size"),
		loss:     rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
		restarts: rapid.IntRange(0, 30).Draw(t, "restarts"),
		storms:   rapid.IntRange(0, 6).Draw(t, "storms"),
		pauses:   rapid.IntRange(0, 10).Draw(t, "pauses"),
		cuts:     rapid.IntRange(0, 3).Draw(t, "cuts"),
		lag:      rapid.Bool().Draw(t, "lag"),
		near:     rapid.Bool().Draw(t, "near"),
		demand:   rapid.SampledFrom([]float64{0.5, 1, 4, 4}).Draw(t, "demand"),
	}
}

// TestNoScheduleBreaksTheRate runs the schedules in parts side by side, each
// with its fixed seed.
func TestNoScheduleBreaksTheRate(t *testing.T) {
	const parts = 8
	var spent atomic.Int64
	t.Run("parts", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				rnd := rand.New(rand.NewPCG(uint64(part), 1))
				gen := rapid.Custom(draw)
				for range *long / parts {
					s := gen.Example(int(rnd.Int32()))
					f := newFleet(s, beryltiming.Default())
					f.run()
					require.Zero(t, f.broken, "%+v: %.1f tokens over", s, f.excess)
					spent.Add(int64(f.spent))
				}
			})
		}
	})
	require.Positive(t, spent.Load(), "nobody got a token, so nothing was checked")
}

// TestCheckFindsVotersThatForget proves that the check can fail: without the
// wait after a restart two instances own a shard at once.
func TestCheckFindsVotersThatForget(t *testing.T) {
	term := beryltiming.Default()
	term.AbstainAfterRestart = false
	broken := 0
	gen := rapid.Custom(draw)
	for i := range 300 {
		f := newFleet(gen.Example(i), term)
		f.run()
		if f.broken > 0 {
			broken++
		}
	}
	t.Logf("%d of 300 schedules broke the rate", broken)
	require.Positive(t, broken)
}
