package berylproxy

import (
	"cmp"
	"slices"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylexplanation"
	"berylspan/core/berylplacement"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

const refusedByServers = "no server has room in time"

// Explain returns where a request for the host and path would be sent now. It sends nothing and
// takes no token. An empty workspace stands for a request without a key.
func (p *Proxy) Explain(host, path, workspace string) *berylexplanation.Explanation {
	e := &berylexplanation.Explanation{To: host + path, Workspace: workspace}
	config := p.State().Config
	if config == nil {
		e.Refused = reasonNoConfig
		return e
	}
	rule := config.Match(host, path)
	if rule == nil {
		e.Refused = reasonNoRule
		return e
	}
	e.Rule = rule.Name
	var account *berylaccount.Account
	if config.RequireKey && !rule.AuthExempt {
		account = config.AccountByWorkspace(workspace)
		if account == nil {
			e.Refused = reasonUnknownKey
			return e
		}
		e.RatePerSecond = account.Rate
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, d := range rule.Destinations {
		sum += d.Weight
	}
	for _, d := range rule.Destinations {
		if d.Weight > 0 {
			q := &request{rule: rule, homes: homes(rule, account), outgoing: &berylrequest.Request{Service: d.Service, Nested: isNested(config, rule, "")}}
			e.Services = append(e.Services, p.explainService(q, d.Weight/sum))
		}
	}
	return e
}

// explainService explains the choice among the servers of the service of q, of which a share of
// the requests is weight. The caller holds the lock.
func (p *Proxy) explainService(q *request, weight float64) berylexplanation.Service {
	now, st, rule := time.Now(), &attemptState{}, q.rule
	list := p.usableServers(q, st)
	candidates, throttled, withheld := p.placementCandidates(now, q, st, list, p.coldStart(q.outgoing.Service))
	if throttled {
		berylplacement.ExcludeThrottled(candidates)
	}
	out := berylexplanation.Service{Name: q.outgoing.Service, Weight: weight}
	best := -1
	prospects := p.chooser.Prospects(candidates, placementCosts())
	for i, entry := range list {
		out.Servers = append(out.Servers, p.explainServer(entry, candidates[i], prospects[i]))
		if !candidates[i].Excluded && (best < 0 || prospects[i].Share > prospects[best].Share) {
			best = i
		}
	}
	out.Servers = append(out.Servers, p.explainUnusable(q)...)
	switch {
	case best < 0 && withheld >= 0:
		out.Refused = berylreply.ReasonCold
	case best < 0 && throttled:
		out.Refused = berylreply.ReasonThrottled
	case best < 0:
		out.Refused = p.reasonUnplaced(q)
	default:
		c := &candidates[best]
		serviceMs := c.ServiceTime * 1000
		out.WaitMs = max(c.Busy+1-c.Limit, 0) / max(c.Limit, 1) * serviceMs
		if target := float64(rule.TargetLatency.Milliseconds()); target > 0 && out.WaitMs+serviceMs > target {
			out.Refused, out.ReturnAfterMs = refusedByServers, out.WaitMs+serviceMs-target
		}
	}
	return out
}

// explainUnusable returns the servers of the service of q that it may not be sent to at all.
func (p *Proxy) explainUnusable(q *request) []berylexplanation.Server {
	var out []berylexplanation.Server
	state, regions := p.State(), p.Regions()
	for _, entry := range state.ServersByAddr {
		excluded := ""
		switch {
		case entry.Service != q.outgoing.Service:
		case !q.homes.Allow(regions.Of(entry.Zone)):
			excluded = "outside the allowed regions"
		case state.Evacuated.Contains(entry.Zone):
			excluded = "its data centre is evacuated"
		}
		if excluded != "" {
			out = append(out, berylexplanation.Server{ID: entry.ID, Zone: entry.Zone, Limit: float64(entry.Slots), Excluded: excluded})
		}
	}
	slices.SortFunc(out, func(a, b berylexplanation.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (p *Proxy) explainServer(entry berylregistration.Registration, c berylplacement.Candidate, prospect berylplacement.Prospect) berylexplanation.Server {
	s := berylexplanation.Server{
		ID: entry.ID, Zone: entry.Zone, Share: prospect.Share, ExpectedMs: prospect.Expected * 1000,
		ServiceMs: c.ServiceTime * 1000, Busy: c.Busy, Limit: c.Limit,
	}
	if c.Age != berylplacement.UnknownAge {
		age := c.Age * 1000
		s.AgeMs = &age
	}
	peer, known := p.peers[entry.Host()]
	switch {
	case !c.Excluded:
	case entry.Leaving:
		s.Excluded = "listed as leaving"
	case p.tracker.Status(entry.ID, entry.Born).Leaving:
		s.Excluded = "said that it is leaving"
	case known && peer.Heartbeat.Leaving:
		s.Excluded = "its daemon is leaving"
	case c.Cold:
		s.Excluded = "cold, and the share of this instance of what it tolerates is used up"
	case c.Throttled:
		s.Excluded = "refuses new requests of the rule"
	case c.OtherZone:
		s.Excluded = "in another data centre, while servers refuse new requests of the rule"
	default:
		s.Excluded = "excluded"
	}
	for _, note := range []struct {
		set  bool
		text string
	}{
		{c.OtherRegion, "other region"},
		{c.OtherZone && !c.OtherRegion, "other data centre"},
		{c.Suspect, "recent requests to it failed, or its daemon is silent"},
		{c.Cold, "started recently"},
		{c.Idle, "idle"},
	} {
		if note.set {
			s.Notes = append(s.Notes, note.text)
		}
	}
	return s
}
