// Package berylcoldstart describes how backend servers of a service start.
package berylcoldstart

import "time"

// ColdStart is what the configuration says of the cold backend servers of a service.
type ColdStart struct {
	PerSecond float64       // requests per second that a cold server tolerates, 0 for no limit
	Duration  time.Duration // for which a server is cold after it started during traffic
}
