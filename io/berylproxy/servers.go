package berylproxy

import (
	"slices"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylhomes"
	"berylspan/core/berylregistration"
	"berylspan/core/berylrule"
	"berylspan/io/berylreply"
)

// reasonNoHome is the reason for refusing a request if none of the servers of its service is in a
// region that its rule and its workspace allow.
const reasonNoHome = "no home"

// homes returns the regions in which a request of the rule and the account, nil without one, may
// run.
func homes(rule *berylrule.Rule, account *berylaccount.Account) berylhomes.Homes {
	h := berylhomes.Homes{Rule: rule.Regions}
	if account != nil {
		h.Workspace = account.Regions
	}
	return h
}

// chooseInstance returns the best instance that has not been tried. A data centre that has
// returned from an evacuation is left out of some of the choices, unless no other can be chosen.
func (p *Proxy) chooseInstance(q *request, st *attemptState) (berylregistration.Registration, bool) {
	list := p.usableServers(q, st)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slowStart.Active() && !q.outgoing.Trial { // All instances choose the same server for a trial.
		if to, ok := p.chooseFrom(q, st, p.withoutReturning(list)); ok {
			return to, true
		}
	}
	return p.chooseFrom(q, st, list)
}

// usableServers returns the servers that a request may be sent to, tried or not. Those in
// evacuated data centres and outside the homes of the request are not among them.
func (p *Proxy) usableServers(q *request, st *attemptState) []berylregistration.Registration {
	list := p.State().ServersByService[q.outgoing.Service]
	if len(st.evacuated) == 0 && !q.homes.Bound() {
		return list
	}
	regions := p.Regions()
	return slices.DeleteFunc(slices.Clone(list), func(r berylregistration.Registration) bool {
		return slices.Contains(st.evacuated, r.Zone) || !q.homes.Allow(regions.Of(r.Zone))
	})
}

// withoutReturning returns the servers without those in data centres whose share of the requests
// does not include this one. The caller holds the lock.
func (p *Proxy) withoutReturning(list []berylregistration.Registration) []berylregistration.Registration {
	now, draw := time.Now(), random()
	return slices.DeleteFunc(slices.Clone(list), func(r berylregistration.Registration) bool { return draw >= p.slowStart.Share(now, r.Zone) })
}

// recordEvacuated records that an instance refused the request because its data centre is
// evacuated, which this instance does not know yet.
func (st *attemptState) recordEvacuated(to berylregistration.Registration, reply *berylreply.Reply) {
	if reply.Reason == berylreply.ReasonEvacuated {
		st.evacuated = append(st.evacuated, to.Zone)
	}
}

// reasonUnplaced returns the reason why no instance could be chosen for a request.
func (p *Proxy) reasonUnplaced(q *request) string {
	state, regions := p.State(), p.Regions()
	reason := reasonNoInstance
	for _, r := range state.ServersByAddr {
		switch {
		case r.Service != q.outgoing.Service:
		case !q.homes.Allow(regions.Of(r.Zone)):
			if reason == reasonNoInstance {
				reason = reasonNoHome
			}
		case !state.Evacuated.Contains(r.Zone):
			return reasonNoInstance // It has been tried or is leaving.
		default:
			reason = berylreply.ReasonEvacuated
		}
	}
	return reason
}
