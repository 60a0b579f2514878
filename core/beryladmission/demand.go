package beryladmission

import (
	"math"
	"time"
)

// demand measures how many slots the accepted requests of each rank take. Under overload
// a request waits not only for those ahead of it but also for all more important ones
// that arrive before it starts.
type demand struct {
	seconds map[int]float64 // decaying sum of expected service times, by rank
	updated time.Time
}

const (
	demandDecay = 1.0  // seconds, time constant of the sums
	minDemand   = 1e-3 // seconds; smaller sums are dropped
)

func newDemand() *demand { return &demand{seconds: map[int]float64{}} }

// add records an accepted request.
func (d *demand) add(now time.Time, rank int, serviceTime float64) {
	d.decay(now)
	d.seconds[rank] += serviceTime
}

// above returns the number of slots that more important requests than those of the rank
// take.
func (d *demand) above(now time.Time, rank int) float64 {
	d.decay(now)
	sum := 0.0
	for other, seconds := range d.seconds {
		if other < rank {
			sum += seconds
		}
	}
	return sum / demandDecay
}

func (d *demand) decay(now time.Time) {
	dt := now.Sub(d.updated).Seconds()
	d.updated = now
	if dt <= 0 {
		return
	}
	factor := math.Exp(-dt / demandDecay)
	for rank := range d.seconds {
		if d.seconds[rank] *= factor; d.seconds[rank] < minDemand {
			delete(d.seconds, rank)
		}
	}
}
