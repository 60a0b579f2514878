package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Upstream is a backend server. It runs as many requests at once as it has slots, queues a few
// more, drops a request whose connection closes, and serves one request at a time on a connection.
type Upstream struct {
	w                       *World
	id, service, zone, addr string
	slots                   int
	sem                     chan struct{}

	// Work returns how long a request runs.
	Work func(r *http.Request) time.Duration
	// Answer answers a request that has run, nil for a plain answer. It returns false to close the
	// connection.
	Answer func(c net.Conn, br *bufio.Reader, r *http.Request, id string, body []byte) bool

	// Crashes tells whether a request with the digest of its body ends the server, nil for never.
	// Crashed is called after that.
	Crashes func(bodyDigest string) bool
	Crashed func()

	mu        sync.Mutex
	born      int64
	ln        net.Listener
	conns     map[net.Conn]bool
	runs      []Run
	leaving   bool
	failShare float64
}

// FailShare makes the server answer 500 to a share of the requests that it runs.
func (u *Upstream) FailShare(share float64) {
	u.mu.Lock()
	u.failShare = share
	u.mu.Unlock()
}

// Run is a request that an upstream began to work on.
type Run struct {
	ID, Path, Tenant, Caller string
	Server                   string
	BodyLen                  int
	BodyDigest               string
	At, End                  time.Time
	Ended                    string
}

func newUpstream(w *World, id, service, zone, addr string, slots int) *Upstream {
	return &Upstream{
		w: w, id: id, service: service, zone: zone, addr: addr, slots: slots, sem: make(chan struct{}, slots),
		Work: func(*http.Request) time.Duration { return 10 * time.Millisecond }, conns: map[net.Conn]bool{},
	}
}

// Start starts a lifetime of the server.
func (u *Upstream) Start() {
	ln, err := net.Listen("tcp", u.addr)
	check(err)
	u.mu.Lock()
	u.ln, u.born, u.leaving = ln, time.Now().UnixMilli(), false
	u.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[c] = true
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
}

// Stop ends the server: its listener and all connections close.
func (u *Upstream) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.ln.Close()
	for c := range u.conns {
		_ = c.Close()
	}
}

// Enlist writes the server's entry and returns when the store acknowledged it.
func (u *Upstream) Enlist(state string) time.Time {
	u.mu.Lock()
	born := u.born
	u.leaving = u.leaving || state == "draining"
	u.mu.Unlock()
	at := u.w.store.Put("servers/"+u.id, map[string]any{
		"address": u.addr, "born": born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": 4, "cold_remaining_s": 0},
	})
	u.w.Note("store acknowledged: server %s (%s) is %s", u.id, u.service, state)
	return at
}

// Runs returns what the server began to run so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

func (u *Upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

func (u *Upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil || !u.handle(c, br, r) {
			return
		}
	}
}

func (u *Upstream) handle(c net.Conn, br *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != u.id {
		u.w.Note("server %s: 421 for %s, which wants %s", u.id, id, want)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id, id)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	gone := make(chan struct{})
	stop := make(chan struct{})
	go func() { // Sees that the caller closes the connection while the request waits or runs.
		for {
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := br.Peek(1)
			if ne, ok := err.(net.Error); err != nil && !(ok && ne.Timeout()) {
				close(gone)
				return
			}
			select {
			case <-stop:
				_ = c.SetReadDeadline(time.Time{})
				close(gone)
				return
			default:
			}
			if err == nil {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}()
	arrived := time.Now()
	select {
	case u.sem <- struct{}{}:
	case <-gone:
		u.w.Note("server %s: %s dropped from the queue", u.id, id)
		return false
	}
	at := time.Now()
	u.mu.Lock()
	n := len(u.runs)
	u.runs = append(u.runs, Run{ID: id, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant-Id"), Caller: r.Header.Get("X-Caller-Service"), Server: u.id, At: at, BodyLen: len(body), BodyDigest: digest(body)})
	u.mu.Unlock()
	u.w.Note("server %s: runs %s %s (arrived %.3f) with a body of %d bytes, digest %s", u.id, id, r.URL.Path, u.w.At(arrived), len(body), digest(body))
	if u.Crashes != nil && u.Crashes(digest(body)) {
		<-u.sem
		u.w.Note("server %s crashes at %s", u.id, id)
		u.Stop()
		go u.Crashed()
		return false
	}
	ended := "whole"
	select {
	case <-time.After(u.Work(r)):
	case <-gone:
		ended = "connection closed"
	}
	<-u.sem
	u.mu.Lock()
	u.runs[n].End, u.runs[n].Ended = time.Now(), ended
	u.mu.Unlock()
	u.w.Note("server %s: run of %s ends: %s", u.id, id, ended)
	if ended != "whole" {
		return false
	}
	close(stop)
	<-gone
	u.mu.Lock()
	fail := rand.Float64() < u.failShare
	u.mu.Unlock()
	if fail {
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Response-Signature: sig-%s-%s\r\nContent-Length: 0\r\n\r\n", id, u.id, u.id, id)
		return err == nil
	}
	if u.Answer != nil {
		return u.Answer(c, br, r, id, body)
	}
	return u.plainAnswer(c, id, fmt.Sprintf("%s ran %s", u.id, id))
}

// head returns the head of a whole answer with extra header lines.
func (u *Upstream) head(id string, length int, extra ...string) string {
	if u.isLeaving() {
		extra = append(extra, "Server-Leaving: 1")
	}
	lines := ""
	for _, l := range extra {
		lines += l + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Response-Signature: sig-%s-%s\r\nContent-Length: %d\r\n%s\r\n", id, u.id, u.id, id, length, lines)
}

func (u *Upstream) plainAnswer(c net.Conn, id, body string) bool {
	_, err := io.Copy(c, strings.NewReader(u.head(id, len(body))+body))
	return err == nil
}
