package berylproxy

import (
	"time"

	"berylspan/core/berylcoldshare"
	"berylspan/core/berylcoldstart"
	"berylspan/core/berylregistration"
)

// coldStart returns what the configuration says of the cold backend servers of a service.
func (p *Proxy) coldStart(service string) berylcoldstart.ColdStart {
	if config := p.State().Config; config != nil {
		return config.ColdStarts[service]
	}
	return berylcoldstart.ColdStart{}
}

// mayOffer reports whether a request may be offered to a backend server within the share of
// this instance of what the server tolerates while it is cold. The caller holds the lock.
func (p *Proxy) mayOffer(now time.Time, entry berylregistration.Registration, start berylcoldstart.ColdStart) bool {
	switch {
	case start.PerSecond <= 0:
		return true
	case berylcoldshare.IsLimited(now, entry.ColdUntil):
		return p.coldShares.Allow(now, p.coldServer(entry, start))
	}
	return !p.coldShares.IsRefused(now, entry.Lifetime())
}

// recordOffer records that a request is about to be sent to a backend server. The caller holds
// the lock.
func (p *Proxy) recordOffer(now time.Time, entry berylregistration.Registration, start berylcoldstart.ColdStart) {
	if start.PerSecond > 0 && berylcoldshare.IsLimited(now, entry.ColdUntil) {
		p.coldShares.Offered(now, p.coldServer(entry, start))
	}
}

func (p *Proxy) coldServer(entry berylregistration.Registration, start berylcoldstart.ColdStart) berylcoldshare.Cold {
	n := p.zoneSizes[entry.Zone]
	return berylcoldshare.Cold{
		Lifetime: entry.Lifetime(), Until: entry.ColdUntil, PerSecond: start.PerSecond,
		SameZone: entry.Zone == p.Zone, InZone: n, Elsewhere: max(p.fleetSize-n, 0),
	}
}

// offerWithheld returns the index of the withheld server if the request may be offered to it
// although the share of this instance is used up, else -1. Each request may once: the shares of
// other instances may not be used.
func (st *attemptState) offerWithheld(withheld int) int {
	if withheld < 0 {
		return -1
	}
	st.overloaded = true
	if st.withheld {
		return -1
	}
	st.withheld = true
	return withheld
}
