// Package beryladmission is the admission control of one backend server: it decides
// which requests run, which wait in a queue and which are refused.
//
// A backend server that is offered more than it can run would queue requests in
// order of arrival, or stop responding. Requests are queued here instead, nested
// calls ahead of new work and each by rank. A request that cannot finish in time
// is refused on arrival rather than after it has waited. The expected wait allows for
// the more important requests that will arrive meanwhile: under a surge, less important
// work that is queued without regard to them is answered late.
//
// A server may also name the request rate that it accepts. Requests beyond it are queued and
// refused in the same way: a rate is worth as many slots as requests run at that rate.
package beryladmission

import (
	"container/heap"
	"math"
	"time"

	"berylspan/core/berylcoldlimit"
	"berylspan/core/berylpacer"
)

// Request describes a request to the admission control. Rank orders waiting
// requests, lowest first. Nested marks a call made by a request that is already
// running; other requests are new work. Kind groups requests with similar service
// times. TimeToDeadline is the time until an answer is useless. TimeToTarget is the
// time until the target latency is exceeded; it is not positive once that has
// happened.
type Request struct {
	Rank           int
	Nested         bool
	Kind           string
	TimeToDeadline time.Duration
	TimeToTarget   time.Duration
}

// Decision says what happens to a request on arrival.
type Decision int

// Possible decisions.
const (
	Start Decision = iota
	Wait
	Refuse
)

// Controller tracks the running and waiting requests of one backend server. T is
// the caller's handle for a waiting request. It is not safe for concurrent use.
type Controller[T any] struct {
	limit              int
	pacer              berylpacer.Pacer     // of the starts, while the server names a rate
	cold               berylcoldlimit.Limit // of the starts, while the server is cold
	running            int
	nestedRunning      int                // running requests that are nested calls
	newWork            queue[T]           // waiting new work
	nested             queue[T]           // waiting nested calls
	deficit            float64            // seconds of nested calls started ahead of waiting new work and not yet matched by its share
	serviceTimes       map[string]float64 // moving mean by kind, seconds
	overallServiceTime float64            // moving mean over all kinds, seconds
	nestedShare        float64            // moving mean of the fraction of slots that nested calls use
	newWorkDemand      *demand            // slots that accepted new work takes
	seq                uint64             // orders requests of equal rank by arrival
}

const (
	smoothing          = 0.05  // weight of the newest sample in a moving mean
	initialServiceTime = 0.05  // seconds; assumed until a request has run
	minServiceTime     = 0.005 // seconds, in estimates of waits
	tailFactor         = 1.4   // ratio of the service time that most requests stay within to the mean
	maxQueuedPerSlot   = 40    // waiting requests per slot, for each queue; the expected wait normally limits the queue long before
	minQueueCapacity   = 32    // waiting requests that each queue may always hold
	newWorkShare       = 0.15  // fraction of the slots for new work while nested calls wait as well
	arrivalDeviations  = 2.0   // standard deviations of the more important arrivals that the expected wait allows for
	minRankShare       = 0.005 // fraction of the slots that the least important new work is assumed to get
	lateRankPenalty    = 1_000 // added to the rank of new work that has missed its target latency
)

// New returns a controller for a backend server that runs up to limit requests
// concurrently.
func New[T any](limit int) *Controller[T] {
	return &Controller[T]{limit: max(limit, 1), serviceTimes: map[string]float64{}, newWorkDemand: newDemand()}
}

// SetLimit changes how many requests may run concurrently.
func (c *Controller[T]) SetLimit(n int) { c.limit = max(n, 1) }

// SetRate limits the requests that start to a rate per second.
func (c *Controller[T]) SetRate(now time.Time, perSecond float64) { c.pacer.SetRate(now, perSecond) }

// ClearRate ends the limit of SetRate.
func (c *Controller[T]) ClearRate() { c.pacer.Off() }

// State returns the number of running requests, the number of waiting requests
// and the concurrency limit. While a rate is set, the limit is the number of requests
// that run at that rate.
func (c *Controller[T]) State() (running, waiting, limit int) {
	return c.running, len(c.newWork) + len(c.nested), max(1, int(math.Round(c.slots())))
}

// slots returns the number of requests that the server can run at once, by Little's law
// less than the concurrency limit while a rate is set.
func (c *Controller[T]) slots() float64 {
	slots := float64(c.limit)
	if rate, ok := c.startRate(); ok {
		return min(slots, rate*max(c.overallServiceTime, minServiceTime))
	}
	return slots
}

// mayStart reports whether there is a slot, and a start within the rate, for a request.
func (c *Controller[T]) mayStart(now time.Time) bool {
	return c.running < c.limit && c.startWait(now) == 0
}

// NextStart returns how long it takes until the rate lets a waiting request start. ok is
// false if none waits or all slots are in use.
func (c *Controller[T]) NextStart(now time.Time) (wait time.Duration, ok bool) {
	if c.noneWaiting() || c.running >= c.limit {
		return 0, false
	}
	return c.startWait(now), true
}

// MeanServiceTime returns the moving mean of the time for which requests of a kind
// run. For a kind that has not run yet it returns the mean over all kinds, or an
// initial estimate when nothing has run.
func (c *Controller[T]) MeanServiceTime(kind string) time.Duration {
	return time.Duration(c.serviceTimeOf(kind) * float64(time.Second))
}

func (c *Controller[T]) serviceTimeOf(kind string) float64 {
	if mean, ok := c.serviceTimes[kind]; ok {
		return mean
	}
	if c.overallServiceTime > 0 {
		return c.overallServiceTime
	}
	return initialServiceTime
}

// ExpectedWait estimates how long a request that arrives now would wait.
func (c *Controller[T]) ExpectedWait(now time.Time, r Request) time.Duration {
	if c.running < c.limit && c.noneWaiting() {
		return c.startWait(now)
	}
	return c.expectedWait(now, effectiveRank(r), r.Nested)
}

// expectedWait estimates how long a request of the effective rank waits until it starts.
func (c *Controller[T]) expectedWait(now time.Time, rank int, nested bool) time.Duration {
	limit := c.slots()
	ahead, slots := c.nested, limit
	switch {
	case !nested:
		ahead = c.newWork
		slots = max(limit*max(1-c.nestedShare, newWorkShare)-c.newWorkDemand.above(now, rank), limit*minRankShare)
	case len(c.newWork) > 0:
		slots = limit * (1 - newWorkShare)
	}
	work := max(c.overallServiceTime, minServiceTime)
	for i := range ahead {
		if ahead[i].rank <= rank {
			work += c.serviceTimeOf(ahead[i].request.Kind)
		}
	}
	wait := work / slots
	if !nested {
		// The number of more important requests that arrive during the wait varies like its
		// square root.
		wait += arrivalDeviations * math.Sqrt(c.newWorkDemand.above(now, rank)*wait*c.overallServiceTime) / slots
	}
	return time.Duration(wait * float64(time.Second))
}

func (c *Controller[T]) noneWaiting() bool { return len(c.newWork)+len(c.nested) == 0 }

// Arrive decides on a new request. On Wait the request is queued with the handle
// v, and the duration is its expected wait. On Refuse the duration is an estimate
// of how long it takes until there may be room.
func (c *Controller[T]) Arrive(now time.Time, r Request, v T) (Decision, time.Duration) {
	c.updateNestedShare()
	if c.noneWaiting() && c.mayStart(now) {
		c.accept(now, r)
		c.begin(now, r)
		return Start, 0
	}
	wait := c.ExpectedWait(now, r)
	available := r.TimeToDeadline
	needed := c.serviceTimeOf(r.Kind)
	// Refusing a nested call wastes the work done for its parent, so nested calls
	// may use all the time up to their deadline.
	if !r.Nested {
		needed *= tailFactor
		if r.TimeToTarget > 0 {
			available = min(r.TimeToTarget, r.TimeToDeadline)
		}
	}
	excess := wait + time.Duration(needed*float64(time.Second)) - available
	queue := &c.newWork
	if r.Nested {
		queue = &c.nested
	}
	if excess > 0 || len(*queue) >= max(minQueueCapacity, maxQueuedPerSlot*c.limit) {
		return Refuse, max(excess, wait)
	}
	c.accept(now, r)
	c.seq++
	heap.Push(queue, &entry[T]{rank: effectiveRank(r), seq: c.seq, request: r, target: now.Add(r.TimeToTarget), deadline: now.Add(r.TimeToDeadline), late: r.TimeToTarget <= 0, value: v})
	return Wait, wait
}

// accept records a request that starts or waits.
func (c *Controller[T]) accept(now time.Time, r Request) {
	if !r.Nested {
		c.newWorkDemand.add(now, effectiveRank(r), c.serviceTimeOf(r.Kind))
	}
}

// effectiveRank puts new work that has missed its target latency behind all other
// new work.
func effectiveRank(r Request) int {
	if r.TimeToTarget <= 0 && !r.Nested {
		return r.Rank + lateRankPenalty
	}
	return r.Rank
}

func (c *Controller[T]) begin(now time.Time, r Request) {
	c.takeStart(now)
	c.running++
	if r.Nested {
		c.nestedRunning++
	}
}

func (c *Controller[T]) updateNestedShare() {
	c.nestedShare += smoothing * (min(float64(c.nestedRunning)/c.slots(), 1) - c.nestedShare)
}

// Done records that a request ended. took updates the moving means only if the
// backend server ran the request.
func (c *Controller[T]) Done(r Request, took time.Duration, ran bool) {
	c.running--
	if r.Nested {
		c.nestedRunning--
	}
	if !ran {
		return
	}
	seconds := took.Seconds()
	if mean, ok := c.serviceTimes[r.Kind]; ok {
		c.serviceTimes[r.Kind] = mean + smoothing*(seconds-mean)
	} else {
		c.serviceTimes[r.Kind] = seconds
	}
	if c.overallServiceTime == 0 {
		c.overallServiceTime = seconds
	}
	c.overallServiceTime += smoothing * (seconds - c.overallServiceTime)
}

// Next removes the next request from the queues. The request starts now, unless
// expired is set: then it can no longer finish before its deadline. ok is false
// when no request waits, all slots are in use or the rate does not let one start.
func (c *Controller[T]) Next(now time.Time) (v T, expired, ok bool) {
	if c.noneWaiting() || !c.mayStart(now) {
		return v, false, false
	}
	q := c.nextQueue()
	for {
		e, _ := heap.Pop(q).(*entry[T])
		serviceTime := time.Duration(c.serviceTimeOf(e.request.Kind) * float64(time.Second))
		if now.Add(serviceTime / 2).After(e.deadline) {
			return e.value, true, true
		}
		if e.late || e.request.Nested || len(*q) == 0 || !now.Add(serviceTime).After(e.target) {
			c.begin(now, e.request)
			return e.value, false, true
		}
		// It will be late, so it runs when no new work that can be in time is left, if that is
		// likely to happen before its deadline.
		e.late = true
		e.rank += lateRankPenalty
		if now.Add(c.expectedWait(now, e.rank, false) + serviceTime).After(e.deadline) {
			return e.value, true, true
		}
		heap.Push(q, e)
	}
}

// nextQueue returns the queue to serve next. Nested calls go first, but while both
// queues hold requests, new work gets newWorkShare of the service time.
func (c *Controller[T]) nextQueue() *queue[T] {
	switch {
	case len(c.nested) == 0:
		c.deficit = 0
		return &c.newWork
	case len(c.newWork) == 0:
		c.deficit = 0
		return &c.nested
	}
	if due := c.serviceTimeOf(c.newWork[0].request.Kind); c.deficit*newWorkShare/(1-newWorkShare) >= due {
		c.deficit -= due * (1 - newWorkShare) / newWorkShare
		return &c.newWork
	}
	c.deficit += c.serviceTimeOf(c.nested[0].request.Kind)
	return &c.nested
}

// Remove removes the first waiting request that match accepts and reports whether
// there was one.
func (c *Controller[T]) Remove(match func(T) bool) bool {
	for _, queue := range []*queue[T]{&c.newWork, &c.nested} {
		for i, e := range *queue {
			if match(e.value) {
				heap.Remove(queue, i)
				return true
			}
		}
	}
	return false
}
