package berylgossip

import "time"

// Peer is another instance as it was last heard. Heard is by the steady clock.
type Peer struct {
	Host  string
	Heard time.Time
	Word  Word
}
