package beryladmission

import "time"

// SetCold limits the requests that start to a rate per second while the server is cold. A rate
// of 0 or less is no limit.
func (c *Controller[T]) SetCold(perSecond float64, cold bool) {
	c.cold.SetRate(perSecond)
	c.cold.SetCold(cold)
}

// ColdWait estimates how long a request that arrives now would wait because the server is cold,
// 0 while it is warm.
func (c *Controller[T]) ColdWait(now time.Time) time.Duration {
	rate, cold := c.cold.Rate()
	if !cold {
		return 0
	}
	waiting := len(c.newWork) + len(c.nested)
	return c.cold.Wait(now) + time.Duration(float64(waiting)/rate*float64(time.Second))
}

// DropExcess removes one of the requests that wait, if more of them do than may start within
// the given time while the server is cold. New work is removed before nested calls.
func (c *Controller[T]) DropExcess(now time.Time, within time.Duration) (v T, ok bool) {
	if c.noneWaiting() || c.ColdWait(now) <= within {
		return v, false
	}
	q := &c.newWork
	if len(*q) == 0 {
		q = &c.nested
	}
	last := len(*q) - 1 // Of a heap: not the first to start, unless it is the only one.
	v = (*q)[last].value
	*q = (*q)[:last]
	return v, true
}

// startWait returns how long it takes until the rates let a request start, 0 if one may start
// now.
func (c *Controller[T]) startWait(now time.Time) time.Duration {
	return max(c.pacer.Wait(now), c.cold.Wait(now))
}

// takeStart records that a request starts.
func (c *Controller[T]) takeStart(now time.Time) {
	c.pacer.Take(now)
	c.cold.Take(now)
}

// startRate returns the rate at which requests may start; ok is false if there is no limit.
func (c *Controller[T]) startRate() (perSecond float64, ok bool) {
	named, hasNamed := c.pacer.Rate()
	cold, hasCold := c.cold.Rate()
	switch {
	case hasNamed && hasCold:
		return min(named, cold), true
	case hasCold:
		return cold, true
	}
	return named, hasNamed
}
