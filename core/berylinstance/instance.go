// Package berylinstance describes an instance: a daemon and its backend server.
package berylinstance

// Instance is an entry of the published list of instances. PeerAddr is the address
// at which other daemons reach the daemon. Leaving is set while the instance shuts
// down and takes no new calls.
type Instance struct {
	ID       string
	Service  string
	Zone     string
	PeerAddr string
	Leaving  bool
}
