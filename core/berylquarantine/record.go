package berylquarantine

import "time"

// Record is what an instance knows of one request. Ends are the lifetimes of servers that ended
// while they ran it, Trials those that ended during a trial. Age is the time since the last of
// them. Both are empty if the request was answered in this epoch.
type Record struct {
	Fingerprint  uint64
	Epoch        uint32
	Ends, Trials []uint64
	Age          time.Duration
}
