package berylgossip

import "time"

// Peer is another instance and its last heartbeat. LastSeen has a monotonic clock
// reading.
type Peer struct {
	Host      string
	LastSeen  time.Time
	Heartbeat Heartbeat
}
