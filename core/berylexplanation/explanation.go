// Package berylexplanation describes where a request would be sent now, and why.
package berylexplanation

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Explanation is what one instance knows of a request that it was not sent. Times are in
// milliseconds.
type Explanation struct {
	To            string    `json:"to"` // host and path
	Workspace     string    `json:"workspace,omitempty"`
	Rule          string    `json:"rule,omitempty"`
	Refused       string    `json:"refused,omitempty"`        // why it would be refused before a server is chosen, empty if it would not
	RatePerSecond float64   `json:"rate_per_second,omitzero"` // of the workspace; whether it is used up is not checked
	Services      []Service `json:"services,omitempty"`
}

// Service is a destination of the rule.
type Service struct {
	Name          string   `json:"name"`
	Weight        float64  `json:"weight"` // share of the requests of the rule that go there
	Refused       string   `json:"refused,omitempty"`
	WaitMs        float64  `json:"wait_ms"`                   // expected at the server that would be chosen most often
	ReturnAfterMs float64  `json:"return_after_ms,omitempty"` // when there is room, if it would be refused
	Servers       []Server `json:"servers,omitempty"`
}

// Server is a backend server that could run the request.
type Server struct {
	ID         string   `json:"id"`
	Zone       string   `json:"zone"`
	Share      float64  `json:"share"`              // probability that it is chosen
	ExpectedMs float64  `json:"expected_ms"`        // until the answer, what distance and failures cost included
	ServiceMs  float64  `json:"service_ms"`         // that the request runs, 0 when unknown
	Busy       float64  `json:"busy"`               // requests that run or wait there as reported, and those sent since
	Limit      float64  `json:"limit"`              // requests that may run at once
	AgeMs      *float64 `json:"age_ms,omitempty"`   // of the report, absent without one
	Excluded   string   `json:"excluded,omitempty"` // why it is not chosen
	Notes      []string `json:"notes,omitempty"`    // what else counts
}

// Room returns how many more requests may run at the server at once.
func (s *Server) Room() float64 { return max(s.Limit-s.Busy, 0) }

// String returns the explanation as text for operators.
func (e *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s", e.To)
	if e.Rule != "" {
		fmt.Fprintf(&b, ": rule %s", e.Rule)
	}
	if e.Workspace != "" {
		fmt.Fprintf(&b, ", workspace %s", e.Workspace)
	}
	b.WriteString("\n")
	if e.RatePerSecond > 0 {
		fmt.Fprintf(&b, "rate of the workspace: %g requests per second (whether it is used up is not checked)\n", e.RatePerSecond)
	}
	if e.Refused != "" {
		fmt.Fprintf(&b, "would be refused: %s\n", e.Refused)
	}
	for i := range e.Services {
		e.Services[i].write(&b)
	}
	return b.String()
}

func (s *Service) write(b *strings.Builder) {
	fmt.Fprintf(b, "\nservice %s, %.0f %% of the requests: ", s.Name, s.Weight*100)
	if s.Refused != "" {
		fmt.Fprintf(b, "would be refused: %s", s.Refused)
		if s.ReturnAfterMs > 0 {
			fmt.Fprintf(b, ", room in about %.0f ms", s.ReturnAfterMs)
		}
	} else {
		fmt.Fprintf(b, "would wait about %.0f ms", s.WaitMs)
	}
	b.WriteString("\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "server\tzone\tshare\texpected\truns\tbusy\tlimit\troom\treport\twhy")
	for i := range s.Servers {
		c := &s.Servers[i]
		age := "none"
		if c.AgeMs != nil {
			age = fmt.Sprintf("%.0f ms ago", *c.AgeMs)
		}
		why := c.Notes
		if c.Excluded != "" {
			why = append([]string{"not chosen: " + c.Excluded}, why...)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.0f ms\t%.0f ms\t%.0f\t%.0f\t%.0f\t%s\t%s\n",
			c.ID, c.Zone, c.Share, c.ExpectedMs, c.ServiceMs, c.Busy, c.Limit, c.Room(), age, strings.Join(why, ", "))
	}
	_ = w.Flush() // A strings.Builder takes everything.
}
