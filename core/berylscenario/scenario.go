// Package berylscenario describes scenarios for the simulation of a deployment: its
// services, the load that clients offer and disturbances such as load peaks and outages.
package berylscenario

import "time"

// Scenario is a deployment and its load. Each backend server has its own instance.
type Scenario struct {
	Name                string
	Zones               []string
	InterZoneDelay      time.Duration // one way, from one data centre to another
	Services            []Service
	Rules               []Rule
	Disturbances        []Disturbance
	Duration            time.Duration // in which clients send
	FirstWorkspaceShare float64       // share of all requests that the first workspace sends
	Workspaces          int           // number of workspaces
}

// Service is a set of identical backend servers, spread evenly over the data centres.
type Service struct {
	Name    string
	Servers int
	Slots   int
}

// Rule is a class of requests. RatePerSecond is 0 for nested calls.
type Rule struct {
	Name             string
	Service          string
	RatePerSecond    float64
	ProcessingTime   time.Duration // on a backend server, without nested calls
	TargetLatency    time.Duration // a later answer is late
	Timeout          time.Duration
	Value            float64 // of an answer within the target latency
	LateValue        float64 // of a late answer
	Importance       int     // steps above the least important requests
	Calls            []Call  // made one after another
	Retries          int     // by a client, after refusals
	HonorsRetryAfter bool    // clients wait before a retry as long as the refusal asks
}

// Call is a nested call, made Count times.
type Call struct {
	Rule  string
	Count int
}

// Kind is the kind of a disturbance.
type Kind string

// Kinds of disturbances.
const (
	Burst          Kind = "burst" // clients send Magnitude times as many requests
	SlowService    Kind = "slow"  // processing at service Target takes Magnitude times as long
	LostServers    Kind = "lost"  // Magnitude servers of service Target are down
	TrafficShift   Kind = "shift" // clients of data centre Target send to the next one
	ZoneOutage     Kind = "cut"   // data centre Target is down, also for its clients
	HotWorkspace   Kind = "hot"   // the first workspace sends Magnitude times as many requests
	RetryStorm     Kind = "storm" // clients ignore the delays that refusals ask for and make up to Magnitude more retries
	RollingRestart Kind = "roll"  // all instances are down for a second, one after another over the duration
	FullRestart    Kind = "all"   // all instances are down at the same time
)

// Disturbance is a change of the load or a fault. What Target and Magnitude mean
// depends on the kind.
type Disturbance struct {
	Kind      Kind
	Start     time.Duration // after the start of the scenario
	Duration  time.Duration
	Target    string
	Magnitude float64
}

// Rule returns the rule called name, or nil.
func (s *Scenario) Rule(name string) *Rule {
	for i := range s.Rules {
		if s.Rules[i].Name == name {
			return &s.Rules[i]
		}
	}
	return nil
}

// Active returns the disturbances of a kind that are in progress at a time.
func (s *Scenario) Active(kind Kind, at time.Duration) []Disturbance {
	var out []Disturbance
	for _, d := range s.Disturbances {
		if d.Kind == kind && at >= d.Start && at < d.Start+d.Duration {
			out = append(out, d)
		}
	}
	return out
}
