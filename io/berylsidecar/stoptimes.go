package berylsidecar

import "time"

// stopTimes are the times of a graceful shutdown since its begin.
type stopTimes struct {
	tellPeers   time.Duration // other instances are told not to use the backend server
	stopReading time.Duration // requests of callers are no longer read
	endWork     time.Duration // requests that still run are cancelled
	endAnswers  time.Duration // connections of callers are closed
	closing     time.Duration // how long the rest may take after that
}

const (
	sharedTime  = 1200 * time.Millisecond // in which other instances still use the backend server; what they start then has most of the grace to finish
	drainTime   = 2500 * time.Millisecond // callers need two missed checks, a second apart, to go elsewhere
	endingTime  = 800 * time.Millisecond  // for answers to requests that are cancelled, and for closing
	endingShare = 1.0 / 6                 // of the grace; running requests must not be cancelled sooner
)

// newStopTimes returns the times of a shutdown that may take no longer than grace.
func newStopTimes(grace time.Duration) stopTimes {
	ending := min(endingTime, time.Duration(float64(grace)*endingShare))
	work := grace - ending
	return stopTimes{
		tellPeers:   min(sharedTime, work/3),
		stopReading: min(drainTime, work*2/3),
		endWork:     work,
		endAnswers:  work + ending/2,
		closing:     ending * 3 / 8,
	}
}
