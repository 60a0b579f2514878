// Package berylpolicy selects which overload controls a daemon applies. Production
// daemons always run the full policy; the others are baselines for comparison.
package berylpolicy

// Policy says which controls are active.
type Policy struct {
	Unlimited      bool // no concurrency limit
	FixedLimit     int  // concurrency limit, 0 for the adaptive one
	AdmissionLevel bool // refuse calls below an adaptive priority
	PriorityOrder  bool // queue by priority, otherwise first come, first served
	RateLimits     bool // enforce the rates of plans
	EqualSplit     bool // divide rates equally among the listed instances
	MaxRetries     int  // allowed for a root call and all calls it leads to
	RetriesPerHop  bool // every hop has an allowance of MaxRetries
}

// Full is the policy of production daemons.
func Full() Policy {
	return Policy{AdmissionLevel: true, PriorityOrder: true, RateLimits: true, MaxRetries: 4}
}

// Off has no overload control: no limits, and retries at every hop.
func Off() Policy {
	return Policy{Unlimited: true, MaxRetries: 3, RetriesPerHop: true}
}

// Split has static limits: a fixed concurrency limit and rates divided equally
// among the instances, with retries at every hop.
func Split(limit int) Policy {
	return Policy{FixedLimit: limit, RateLimits: true, EqualSplit: true, MaxRetries: 3, RetriesPerHop: true}
}
