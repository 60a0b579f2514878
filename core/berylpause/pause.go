// Package berylpause says when a refused request may come back.
//
// It answers clients that all return at once: each gets a time of its own, while
// its answer would still be of full use.
package berylpause

import "time"

// Least is the shortest time after which a refused request may return.
const Least = 50 * time.Millisecond

// shedMost is the largest part of the time of full use that is left, after which a
// shed request may return.
const shedMost = 1.0 / 3

// Shed returns when a request may come back that was refused for overload. Aim is
// the time left until its answer is late, limit until it is useless; random is in
// [0,1).
func Shed(aim, limit time.Duration, random float64) time.Duration {
	left := aim
	if left <= 0 {
		left = limit
	}
	return max(Least, time.Duration(float64(left)*shedMost*random))
}
