// Package berylfakeplatform stands in for the platform's configuration service
// and list of instances in tests and the demo.
package berylfakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylinstance"
)

// Platform is an HTTP handler that serves what was published. It is safe for
// concurrent use.
type Platform struct {
	calls atomic.Int64
	down  atomic.Bool

	mu        sync.Mutex
	changed   chan struct{}
	revision  int64
	lists     map[string]json.RawMessage
	listed    int64
	instances []berylinstance.Instance
}

// New returns a platform that publishes nothing yet.
func New() *Platform {
	return &Platform{changed: make(chan struct{}), lists: map[string]json.RawMessage{}}
}

// Publish replaces both lists and returns the new revision.
func (p *Platform) Publish(workspaces, plans []byte) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.lists = map[string]json.RawMessage{"workspaces": workspaces, "plans": plans}
	p.wake()
	return p.revision
}

// Rewind makes the platform answer an older revision than before.
func (p *Platform) Rewind(revision int64, workspaces, plans []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = revision
	p.lists = map[string]json.RawMessage{"workspaces": workspaces, "plans": plans}
	p.wake()
}

// List replaces the list of instances.
func (p *Platform) List(list []berylinstance.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed++
	p.instances = list
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Down makes every call fail, or ends that.
func (p *Platform) Down(down bool) { p.down.Store(down) }

// Calls returns how often it was called.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// ServeHTTP serves /v1/lists and /v1/instances.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if p.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, rev, changed := p.read(r.URL.Path)
		if rev > after || rev < after && rev > 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) read(path string) ([]byte, int64, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path == "/v1/lists" {
		doc := map[string]any{"revision": p.revision}
		for name, l := range p.lists {
			doc[name] = l
		}
		body, _ := json.Marshal(doc)
		return body, p.revision, p.changed
	}
	type instance struct {
		ID       string `json:"id"`
		Service  string `json:"service"`
		Zone     string `json:"zone"`
		PeerAddr string `json:"peer"`
		Leaving  bool   `json:"leaving"`
	}
	list := make([]instance, len(p.instances))
	for i, in := range p.instances {
		list[i] = instance(in)
	}
	body, _ := json.Marshal(map[string]any{"revision": p.listed, "instances": list})
	return body, p.listed, p.changed
}
