package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store. It serves ranges and watches and loses
// nothing that it has acknowledged.
type Store struct {
	mu     sync.Mutex
	rev    int64
	items  map[string]storeItem
	events []storeItem
	moved  chan struct{}
	down   bool
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newStore() *Store {
	return &Store{rev: 10, items: map[string]storeItem{}, moved: make(chan struct{})}
}

// Put writes a key and returns the revision of the write.
func (s *Store) Put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := storeItem{Key: key, Value: data, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
	return s.rev
}

// Remove removes a key if it is there.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.publish(storeItem{Key: key, Revision: s.rev, Removed: true})
}

// SetDown makes the store answer 503 to every call, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

func (s *Store) publish(it storeItem) {
	s.events = append(s.events, it)
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "as_of": rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.After(wait)
	for over := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, moved, down := s.rev, s.moved, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || over {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-moved:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
