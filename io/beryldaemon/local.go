package beryldaemon

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"berylspan/core/berylrefusalevent"
)

// localHandler serves the backend server's own calls and what operators ask.
func (d *Daemon) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.local.Handler())
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /health", d.health)
	mux.HandleFunc("GET /explain", d.explain)
	if d.set.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

func (d *Daemon) health(w http.ResponseWriter, r *http.Request) {
	if !d.control.Ready(r.Context()) || d.control.State().Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	d.explain(w, r)
}

// report is what explain answers.
type report struct {
	ID       string                    `json:"id"`
	Service  string                    `json:"service"`
	Zone     string                    `json:"zone"`
	Revision int64                     `json:"revision"`
	Source   string                    `json:"source"`
	Age      string                    `json:"age"`
	Leaving  bool                      `json:"leaving"`
	Peers    int                       `json:"peers"`
	Limit    int                       `json:"limit"`
	Running  int                       `json:"running"`
	Waiting  int                       `json:"waiting"`
	Level    float64                   `json:"level"`
	Rejected []string                  `json:"rejected"`
	Broken   map[string]int            `json:"broken"`
	Refused  []berylrefusalevent.Event `json:"refused"`
}

const mostRefused = 20

func (d *Daemon) explain(w http.ResponseWriter, r *http.Request) {
	s := d.control.State()
	limit, calls, streams, waiting := d.slots.State()
	rep := report{
		ID: d.set.ID, Service: d.set.Service, Zone: d.set.Zone,
		Revision: d.revision(), Source: s.Source, Leaving: s.Leaving, Peers: len(s.Instances),
		Limit: limit, Running: calls + streams, Waiting: waiting, Level: d.slots.Threshold(),
		Broken:  d.guard.Counts(),
		Refused: d.metrics.RecentRefusals(r.URL.Query().Get("call"), r.URL.Query().Get("workspace"), mostRefused),
	}
	if !s.AcceptedAt.IsZero() {
		rep.Age = time.Since(s.AcceptedAt).Round(time.Second).String()
	}
	for _, f := range d.control.Rejected() {
		rep.Rejected = append(rep.Rejected, f.String())
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(rep)
}
