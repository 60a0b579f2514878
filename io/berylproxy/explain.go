package berylproxy

import (
	"time"

	"berylspan/core/berylexplanation"
	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylplacement"
	"berylspan/core/berylregistration"
	"berylspan/core/berylrule"
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
	if config.RequireKey && !rule.AuthExempt {
		account := config.AccountByWorkspace(workspace)
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
			e.Services = append(e.Services, p.explainService(config, rule, d.Service, d.Weight/sum))
		}
	}
	return e
}

// explainService explains the choice among the servers of a service. The caller holds the lock.
func (p *Proxy) explainService(config *berylhttpconfig.Config, rule *berylrule.Rule, service string, weight float64) berylexplanation.Service {
	now := time.Now()
	list := p.State().ServersByService[service]
	q := &request{rule: rule, outgoing: &berylrequest.Request{Service: service, Nested: isNested(config, rule, "")}}
	candidates, throttled := p.placementCandidates(now, q, &attemptState{}, list)
	if throttled {
		berylplacement.ExcludeThrottled(candidates)
	}
	out := berylexplanation.Service{Name: service, Weight: weight}
	best := -1
	prospects := p.chooser.Prospects(candidates, placementCosts())
	for i, entry := range list {
		out.Servers = append(out.Servers, p.explainServer(entry, candidates[i], prospects[i]))
		if !candidates[i].Excluded && (best < 0 || prospects[i].Share > prospects[best].Share) {
			best = i
		}
	}
	switch {
	case best < 0 && throttled:
		out.Refused = berylreply.ReasonThrottled
	case best < 0:
		out.Refused = reasonNoInstance
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
