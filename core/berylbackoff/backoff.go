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

// RetryDelay returns how long to wait before retrying a request that was refused
// because of overload. timeToTarget is the time left until its answer is late,
// timeToDeadline the time left until it is useless, which counts once the answer is
// late. random is in [0,1).
func RetryDelay(timeToTarget, timeToDeadline time.Duration, random float64) time.Duration {
	left := timeToTarget
	if left <= 0 {
		left = timeToDeadline
	}
	return max(MinDelay, time.Duration(float64(left)*maxDelayShare*random))
}
