// Package berylserverload describes what an answer of a backend server says about the load of
// the server.
package berylserverload

import (
	"strconv"
	"strings"
)

// Load is the load of a backend server as one of its answers states it.
type Load struct {
	Running  int     // requests
	Waiting  int     // requests
	Slots    int     // requests that can run at once, 0 when malformed
	Slowdown float64 // how long work takes at this moment, relative to usual; 0 when the server does not say
}

// Limits of Slowdown: beyond them a figure is taken for malformed.
const (
	minSlowdown = 0.01
	maxSlowdown = 100
)

// Parse reads running requests, waiting requests and slots, separated by commas, and as a fourth
// figure, which may be absent, the slowdown in per cent. It returns false if the first two are not
// numbers or the third is absent.
func Parse(value string) (Load, bool) {
	running, rest, _ := strings.Cut(value, ",")
	waiting, rest, ok := strings.Cut(rest, ",")
	if !ok {
		return Load{}, false
	}
	slots, slowdown, _ := strings.Cut(rest, ",")
	slowdown, _, _ = strings.Cut(slowdown, ",") // Further figures are not known yet.
	var l Load
	var err error
	if l.Running, err = strconv.Atoi(strings.TrimSpace(running)); err != nil {
		return Load{}, false
	}
	if l.Waiting, err = strconv.Atoi(strings.TrimSpace(waiting)); err != nil {
		return Load{}, false
	}
	if n, err := strconv.Atoi(strings.TrimSpace(slots)); err == nil {
		l.Slots = n
	}
	if percent, err := strconv.ParseFloat(strings.TrimSpace(slowdown), 64); err == nil && percent/100 >= minSlowdown && percent/100 <= maxSlowdown {
		l.Slowdown = percent / 100
	}
	return l, true
}
