package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is the platform's metadata store, with an own address for each daemon.
type Store struct {
	port int

	mu     sync.Mutex
	rev    int64
	items  map[string]item
	events []item
	moved  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// storePort is the address at which one daemon reaches the store.
type storePort struct {
	addr string
	busy atomic.Bool // calls get 503
}

func newStore() *Store { return &Store{rev: 100, items: map[string]item{}, moved: make(chan struct{})} }

func (s *Store) listen() *storePort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &storePort{addr: ln.Addr().String()}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(p, w, r) }))
	}()
	return p
}

// Put writes a value as JSON and returns when the store acknowledged it.
func (s *Store) Put(key string, v any) time.Time {
	data, err := json.Marshal(v)
	check(err)
	return s.change(item{Key: key, Value: data})
}

// Remove removes a key.
func (s *Store) Remove(key string) time.Time { return s.change(item{Key: key, Removed: true}) }

func (s *Store) change(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it.Revision, it.Created = s.rev, s.rev
	if s.items[it.Key] = it; it.Removed {
		delete(s.items, it.Key)
	}
	s.events = append(s.events, it)
	close(s.moved)
	s.moved = make(chan struct{})
	return time.Now()
}

func (s *Store) serve(p *storePort, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	if p.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		items := []item{}
		for _, it := range s.items {
			if strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				items = append(items, it)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "as_of": rev})
	case "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(p, w, r, after, time.After(time.Duration(wait)*time.Millisecond))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) watch(p *storePort, w http.ResponseWriter, r *http.Request, after int64, end <-chan time.Time) {
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("path_prefix")) {
				events = append(events, e)
			}
		}
		rev, moved := s.rev, s.moved
		s.mu.Unlock()
		if p.busy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || last {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-moved:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
