// Package berylbackoff computes how long clients should wait before they retry a refused
// request.
//
// Clients that are refused together would otherwise retry together. Each gets a
// random delay, short enough that the retry can still meet the target latency.
package berylbackoff

import "time"

// MinDelay is the shortest delay before a refused request may be retried.
const MinDelay = 50 * time.Millisecond

// maxDelayShare is the largest fraction of the time left that a retry is delayed by.
const maxDelayShare = 1.0 / 3

// maxSpread is the largest fraction of the expected time until there is room that is added
// to it, so that requests refused together return apart.
const maxSpread = 0.5

// DelayUntilRoom returns how long to wait before retrying a request that was refused because
// there is expected to be room for it only after the given time. If that is later than a
// retry should be, the delay is the one for an unknown time. The other arguments are those
// of RetryDelay.
func DelayUntilRoom(room, timeToTarget, timeToDeadline time.Duration, random float64) time.Duration {
	delay := time.Duration(float64(room) * (1 + maxSpread*random))
	if room <= 0 || delay > maxDelay(timeToTarget, timeToDeadline) {
		return RetryDelay(timeToTarget, timeToDeadline, random)
	}
	return max(MinDelay, delay)
}

// RetryDelay returns how long to wait before retrying a request that was refused
// because of overload. timeToTarget is the time left until its answer is late,
// timeToDeadline the time left until it is useless, which counts once the answer is
// late. random is in [0,1).
func RetryDelay(timeToTarget, timeToDeadline time.Duration, random float64) time.Duration {
	return max(MinDelay, time.Duration(float64(maxDelay(timeToTarget, timeToDeadline))*random))
}

// The fractions of the time left until the target between which LateDelay lies.
const (
	minLateShare = 0.5
	maxLateShare = 0.7
)

// LateDelay returns how long to wait before retrying a request that was refused because
// something it needs is out of order for some seconds: as long as its retry can still meet
// the target latency. Callers wait at most a third of the time that they have left. The
// arguments are those of RetryDelay.
func LateDelay(timeToTarget, timeToDeadline time.Duration, random float64) time.Duration {
	longest := time.Duration(float64(timeToDeadline) * maxDelayShare)
	if timeToTarget <= 0 {
		return max(MinDelay, longest)
	}
	delay := time.Duration(float64(timeToTarget) * (minLateShare + (maxLateShare-minLateShare)*random))
	return max(MinDelay, min(delay, longest))
}

func maxDelay(timeToTarget, timeToDeadline time.Duration) time.Duration {
	left := timeToTarget
	if left <= 0 {
		left = timeToDeadline
	}
	return time.Duration(float64(left) * maxDelayShare)
}
