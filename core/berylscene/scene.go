// Package berylscene describes a deployment and the load that it meets, for a
// model of it.
package berylscene

import "time"

// Scene is a deployment and its load. An instance stands beside each server.
type Scene struct {
	Name     string
	Zones    []string
	Between  time.Duration // one way, from one data centre to another
	Services []Service
	Rules    []Rule
	Troubles []Trouble
	Length   time.Duration // in which clients send
	Skew     float64       // share of all requests that the first workspace sends
	Spaces   int           // workspaces
}

// Service is a set of like servers, spread evenly over the data centres.
type Service struct {
	Name    string
	Servers int
	Slots   int
}

// Rule is a class of requests. PerSecond is 0 for nested calls.
type Rule struct {
	Name      string
	Service   string
	PerSecond float64
	Work      time.Duration // on a server, without calls
	Aim       time.Duration // until which an answer has its full worth
	Limit     time.Duration
	Worth     float64
	Late      float64 // worth of an answer after the aim
	Step      int     // how many steps it is more important than the least important
	Calls     []Call  // made one after the other
	Tries     int     // of a client, after a refusal
	Obeys     bool    // clients wait as long as a refusal says
}

// Call is a nested call, made N times.
type Call struct {
	Rule string
	N    int
}

// Kind is what happens in a trouble.
type Kind string

// Kinds of trouble.
const (
	Burst Kind = "burst" // clients send X times as much
	Slow  Kind = "slow"  // servers of On take X times as long
	Lost  Kind = "lost"  // X servers of On are gone
	Shift Kind = "shift" // clients of data centre On send from the next one
	Cut   Kind = "cut"   // data centre On and its clients' way to it are gone
	Hot   Kind = "hot"   // the first workspace sends X times as much
	Storm Kind = "storm" // clients ignore what refusals say and try X times more
	Roll  Kind = "roll"  // all instances stop for a second, one after the other
	All   Kind = "all"   // everything is restarted
)

// Trouble happens from At for For.
type Trouble struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	On   string
	X    float64
}

// Rule returns the rule of that name, nil without.
func (s *Scene) Rule(name string) *Rule {
	for i := range s.Rules {
		if s.Rules[i].Name == name {
			return &s.Rules[i]
		}
	}
	return nil
}

// During returns the troubles of a kind at a time.
func (s *Scene) During(kind Kind, at time.Duration) []Trouble {
	var out []Trouble
	for _, t := range s.Troubles {
		if t.Kind == kind && at >= t.At && at < t.At+t.For {
			out = append(out, t)
		}
	}
	return out
}
