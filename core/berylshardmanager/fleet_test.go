package berylshardmanager_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspan/core/berylclass"
	"berylspan/core/berylscheduler"
	"berylspan/core/berylshard"
	"berylspan/core/berylshardmanager"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenbatch"
	"berylspan/core/beryltokencache"
	"berylspan/core/beryltokenrequest"
)

// The tests in this file simulate a fleet: the components that own shards, grant tokens
// and spend them run for many instances on one event queue in virtual time. Messages
// are lost, delayed, duplicated and reordered; instances restart and pause, data centres
// are partitioned, instance lists are out of date and clocks drift.

//nolint:gochecknoglobals // The flag package needs it.
var scheduleCount = flag.Int("schedules", 1000, "random schedules to run")

const (
	rate        = 40.0
	burst       = 30.0
	workspace   = "w"
	runDuration = 15 * time.Second
)

// schedule is the parameters of one simulation, drawn by rapid.
type schedule struct {
	seed             uint64
	zones            int
	instancesPerZone int
	messageFaultRate float64 // probability that a message is lost or duplicated, and that it is delayed
	restarts         int     // of one instance
	zoneRestarts     int     // restarts of all or most instances of a data centre
	pauses           int     // of one instance
	partitions       int     // times that a data centre is cut off from the others
	staleLists       bool    // instance lists may be out of date
	oneZoneCalls     bool    // only the first data centre receives calls
	demandFactor     float64 // rate of calls, relative to rate
}

type fleet struct {
	schedule
	timing      beryltiming.Timing
	rng         *rand.Rand
	agenda      berylscheduler.Scheduler
	instances   []*instance
	zoneNames   []string
	partitioned map[string]bool

	bucketLevel   float64 // tokens in a reference bucket with rate and burst; negative when too many were spent
	refilledAt    time.Duration
	violations    int
	spent         int
	maxExcess     float64 // largest number of tokens spent above rate and burst
	lastRequestID uint64
}

// instance is a simulated instance, with its own clock.
type instance struct {
	fleet       *fleet
	id          string
	zone        string
	startCount  int     // tells messages and timers from before a restart from later ones
	clockRate   float64 // relative to virtual time
	clockOffset time.Duration
	pausedUntil time.Duration // virtual time
	manager     *berylshardmanager.Manager
	cache       *beryltokencache.TokenCache
	owners      map[string]string
	rankings    map[string]*berylshard.Ranking
	unlisted    string // instance that is missing from rankings, if any
}

func newFleet(s schedule, timing beryltiming.Timing) *fleet {
	f := &fleet{schedule: s, timing: timing, rng: rand.New(rand.NewPCG(s.seed, 7)), partitioned: map[string]bool{}, bucketLevel: burst}
	for z := range s.zones {
		zone := fmt.Sprintf("z%d", z)
		f.zoneNames = append(f.zoneNames, zone)
		for i := range s.instancesPerZone {
			inst := &instance{fleet: f, id: fmt.Sprintf("%s-%d", zone, i), zone: zone}
			inst.clockRate = 1 + (f.rng.Float64()-0.5)*timing.MaxClockDrift
			inst.clockOffset = time.Duration(f.rng.Int64N(int64(time.Hour)))
			f.instances = append(f.instances, inst)
		}
	}
	for _, inst := range f.instances {
		inst.start()
		inst.scheduleTick(inst.startCount)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) { f.agenda.After(d, do) }

func (f *fleet) uniform(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

func (f *fleet) run() {
	f.scheduleFaults()
	f.generateCalls()
	f.agenda.RunUntil(runDuration)
}

// scheduleFaults schedules the faults at random times.
func (f *fleet) scheduleFaults() {
	for range f.restarts {
		inst := f.instances[f.rng.IntN(len(f.instances))]
		f.after(f.uniform(runDuration), func() { inst.start(); inst.scheduleTick(inst.startCount) })
	}
	for range f.zoneRestarts {
		zone := f.zoneNames[f.rng.IntN(len(f.zoneNames))]
		f.after(f.uniform(runDuration), func() { f.restartZone(zone) })
	}
	for range f.pauses {
		inst := f.instances[f.rng.IntN(len(f.instances))]
		f.after(f.uniform(runDuration), func() { inst.pausedUntil = f.agenda.Now() + f.uniform(5*time.Second) })
	}
	for range f.partitions {
		zone := f.zoneNames[f.rng.IntN(len(f.zoneNames))]
		f.after(f.uniform(runDuration), func() {
			f.partitioned[zone] = true
			f.after(f.uniform(6*time.Second), func() { delete(f.partitioned, zone) })
		})
	}
}

// restartZone restarts all instances of a data centre or, in half of the cases, all but
// the owner of the shard.
func (f *fleet) restartZone(zone string) {
	all := f.rng.IntN(2) == 0
	for _, inst := range f.instances {
		ownership, _ := inst.manager.Ownership(inst.clock(), 0)
		if inst.zone == zone && (all || ownership == nil) {
			inst.start()
			inst.scheduleTick(inst.startCount)
		}
	}
}

// generateCalls sends calls at the demand of the schedule, with occasional gaps of up
// to a second.
func (f *fleet) generateCalls() {
	if f.rng.IntN(40) == 0 {
		f.after(f.uniform(time.Second), f.generateCalls)
		return
	}
	inst := f.instances[f.rng.IntN(len(f.instances))]
	if f.oneZoneCalls {
		inst = f.instances[f.rng.IntN(f.instancesPerZone)]
	}
	inst.do(func() { inst.takeToken(20) })
	f.after(time.Duration(f.rng.ExpFloat64()/(rate*f.demandFactor)*float64(time.Second)), f.generateCalls)
}

// recordSpent takes a token from the reference bucket and records whether that exceeds
// rate and burst.
func (f *fleet) recordSpent() {
	f.bucketLevel = min(burst, f.bucketLevel+(f.agenda.Now()-f.refilledAt).Seconds()*rate)
	f.refilledAt = f.agenda.Now()
	f.bucketLevel--
	f.spent++
	if f.bucketLevel < -1e-6 {
		f.violations++
		f.maxExcess = max(f.maxExcess, -f.bucketLevel)
	}
}

func (inst *instance) clock() time.Time {
	return time.Unix(0, 0).Add(inst.clockOffset + time.Duration(float64(inst.fleet.agenda.Now())*inst.clockRate))
}

// start starts or restarts the instance, with an empty memory.
func (inst *instance) start() {
	inst.startCount++
	inst.manager = berylshardmanager.New(inst.id, inst.clock(), berylshardmanager.ShardCount(1), berylshardmanager.Timing(inst.fleet.timing))
	inst.cache = beryltokencache.New(inst.fleet.timing, func() uint64 { inst.fleet.lastRequestID++; return inst.fleet.lastRequestID })
	inst.owners = map[string]string{}
	inst.updateRankings()
}

// updateRankings ranks the instances on the instance's list, from which one other
// instance may be missing if lists may be out of date.
func (inst *instance) updateRankings() {
	inst.rankings = map[string]*berylshard.Ranking{}
	inst.unlisted = ""
	if inst.fleet.staleLists && inst.fleet.rng.IntN(3) == 0 {
		inst.unlisted = inst.fleet.instances[inst.fleet.rng.IntN(len(inst.fleet.instances))].id
	}
	for _, zone := range inst.fleet.zoneNames {
		var ids []string
		for _, other := range inst.fleet.instances {
			if other.zone == zone && (other.id != inst.unlisted || other == inst) {
				ids = append(ids, other.id)
			}
		}
		inst.rankings[zone] = berylshard.NewRanking(zone, ids)
	}
}

// do runs step now or, when the instance is paused, at the end of the pause, unless the
// instance restarts first.
func (inst *instance) do(step func()) {
	startCount := inst.startCount
	if inst.fleet.agenda.Now() < inst.pausedUntil {
		inst.fleet.after(inst.pausedUntil-inst.fleet.agenda.Now(), func() {
			if inst.startCount == startCount {
				inst.do(step)
			}
		})
		return
	}
	step()
}

func (inst *instance) scheduleTick(startCount int) {
	inst.fleet.after(40*time.Millisecond+inst.fleet.uniform(20*time.Millisecond), func() {
		inst.do(func() {
			if inst.startCount != startCount {
				return
			}
			inst.tick()
			inst.scheduleTick(startCount)
		})
	})
}

func (inst *instance) tick() {
	if inst.fleet.rng.IntN(20) == 0 {
		inst.updateRankings()
	}
	for _, voteReq := range inst.manager.Tick(inst.clock(), inst.rankings[inst.zone]) {
		voter := inst.fleet.instanceByID(voteReq.Voter)
		inst.send(voter, func() {
			promised, holder := voter.manager.Vote(voter.clock(), 0, inst.id)
			voter.send(inst, func() { inst.manager.RecordVote(inst.clock(), voteReq.Voter, voteReq.RoundStart, 0, promised, holder) })
		})
	}
	inst.requestTokens()
}

func (f *fleet) instanceByID(id string) *instance {
	for _, inst := range f.instances {
		if inst.id == id {
			return inst
		}
	}
	return nil
}

// send delivers a message to another instance: once, or with probability
// messageFaultRate late, twice or never. Messages between data centres are lost while
// one of them is cut off. A restart of either instance closes their connection, and
// messages in flight are lost.
func (inst *instance) send(to *instance, do func()) {
	f := inst.fleet
	copies := 1
	if f.rng.Float64() < f.messageFaultRate {
		copies = 2 * f.rng.IntN(2)
	}
	for range copies {
		d := time.Millisecond + f.uniform(4*time.Millisecond)
		if f.rng.Float64() < f.messageFaultRate {
			d += f.uniform(3 * time.Second)
		}
		senderStarts, receiverStarts := inst.startCount, to.startCount
		f.after(d, func() {
			if inst.zone != to.zone && (f.partitioned[inst.zone] || f.partitioned[to.zone]) {
				return
			}
			if to.startCount == receiverStarts && inst.startCount == senderStarts {
				to.do(do)
			}
		})
	}
}

// zones returns all data centres, the own one first.
func (inst *instance) zones() []string {
	out := []string{inst.zone}
	for _, z := range inst.fleet.zoneNames {
		if z != inst.zone {
			out = append(out, z)
		}
	}
	return out
}

// takeToken spends a token for a call. While there is none, it tries again, up to the
// given number of attempts, and then rejects the call.
func (inst *instance) takeToken(attempts int) {
	now := inst.clock()
	if attempts == 20 {
		inst.cache.RecordCall(now, workspace, berylclass.Standard)
		inst.cache.AddWaiting(now, workspace, berylclass.Standard, 1)
	}
	if _, ok := inst.cache.Take(now, workspace, berylclass.Standard); ok {
		inst.cache.AddWaiting(now, workspace, berylclass.Standard, -1)
		inst.fleet.recordSpent()
		return
	}
	inst.requestTokens()
	if attempts == 0 {
		inst.cache.AddWaiting(now, workspace, berylclass.Standard, -1)
		return
	}
	startCount := inst.startCount
	inst.fleet.after(6*time.Millisecond, func() {
		if inst.startCount == startCount {
			inst.do(func() { inst.takeToken(attempts - 1) })
		}
	})
}

func (inst *instance) requestTokens() {
	zone, req, ok := inst.cache.NextRequest(inst.clock(), workspace, inst.zones())
	if !ok {
		return
	}
	to := inst.fleet.instanceByID(inst.ownerOf(zone))
	inst.send(to, func() { to.grantTokens(inst, zone, req) })
	startCount := inst.startCount
	inst.fleet.after(150*time.Millisecond, func() {
		if inst.startCount == startCount {
			inst.cache.HandleFailure(inst.clock(), workspace, zone, req.ID)
		}
	})
}

// ownerOf returns the instance of zone to request tokens from: in most cases the last
// known owner, else one of those that rank first.
func (inst *instance) ownerOf(zone string) string {
	if id := inst.owners[zone]; id != "" && inst.fleet.rng.IntN(10) > 0 {
		return id
	}
	top := inst.rankings[zone].Top(3, 0)
	return top[inst.fleet.rng.IntN(100)*len(top)/130]
}

// grantTokens answers a request for tokens from the instance to.
func (inst *instance) grantTokens(to *instance, zone string, req beryltokenrequest.Request) {
	now := inst.clock()
	ownership, holder := inst.manager.OwnershipForRequest(now, 0)
	var batch beryltokenbatch.Batch
	if ownership != nil {
		share := 1 / float64(inst.fleet.zones)
		batch = ownership.Granter.Grant(now, ownership.ExpiresAt, req, rate*share, burst*share)
		holder = inst.id
	}
	inst.send(to, func() {
		to.owners[zone] = holder
		if ownership == nil {
			to.cache.HandleFailure(to.clock(), workspace, zone, req.ID)
			return
		}
		to.cache.HandleBatch(to.clock(), workspace, zone, batch)
	})
}

func drawSchedule(t *rapid.T) schedule {
	return schedule{
		seed:             rapid.Uint64().Draw(t, "seed"),
		zones:            rapid.IntRange(1, 3).Draw(t, "zones"),
		instancesPerZone: rapid.IntRange(3, 6).Draw(t, "instancesPerZone"),
		messageFaultRate: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "messageFaultRate"),
		restarts:         rapid.IntRange(0, 30).Draw(t, "restarts"),
		zoneRestarts:     rapid.IntRange(0, 6).Draw(t, "zoneRestarts"),
		pauses:           rapid.IntRange(0, 10).Draw(t, "pauses"),
		partitions:       rapid.IntRange(0, 3).Draw(t, "partitions"),
		staleLists:       rapid.Bool().Draw(t, "staleLists"),
		oneZoneCalls:     rapid.Bool().Draw(t, "oneZoneCalls"),
		demandFactor:     rapid.SampledFrom([]float64{0.5, 1, 4, 4}).Draw(t, "demandFactor"),
	}
}

// Two owners of a shard at the same time would grant more tokens than the rate and burst
// of the workspace allow. This must not happen under any schedule of faults. The
// schedules run in parallel parts, each with a fixed seed.
func TestNoScheduleBreaksTheRate(t *testing.T) {
	const parts = 8
	var spent atomic.Int64
	t.Run("parts", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(uint64(part), 1))
				gen := rapid.Custom(drawSchedule)
				for range *scheduleCount / parts {
					s := gen.Example(int(rng.Int32()))
					f := newFleet(s, beryltiming.Default())
					f.run()
					require.Zero(t, f.violations, "%+v: %.1f tokens more than rate and burst allow", s, f.maxExcess)
					spent.Add(int64(f.spent))
				}
			})
		}
	})
	require.Positive(t, spent.Load(), "no token was spent, so nothing was checked")
}

// The simulation must be able to detect a violation: when voters do not abstain after a
// restart, two instances can own a shard at the same time and together exceed the rate.
func TestCheckFindsVotersThatForget(t *testing.T) {
	timing := beryltiming.Default()
	timing.AbstainAfterRestart = false
	violating := 0
	gen := rapid.Custom(drawSchedule)
	for i := range 300 {
		f := newFleet(gen.Example(i), timing)
		f.run()
		if f.violations > 0 {
			violating++
		}
	}
	t.Logf("%d of 300 schedules exceeded the rate", violating)
	require.Positive(t, violating)
}
