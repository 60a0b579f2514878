package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// UpstreamSpec is what a stand-in of an upstream, a process of its own, is started with.
type UpstreamSpec struct {
	ID, Service, Zone, Addr string
	Slots                   int
	Work                    time.Duration
	Platform                string // address of the stand-in of the platform, for heartbeats and the record
	Heartbeat               time.Duration
	CrashPath               string // requests for paths with this prefix end the process
	CrashAfter              int    // bytes of the answer that are sent before that
	BodyBytes               int    // of an answer
	GoesOn                  bool   // it does not drop a request when its connection closes
	ReadPerSecond           int    // bytes of a request body, 0 for as fast as they come
}

type upstream struct {
	UpstreamSpec
	born    int64
	slots   chan struct{}
	waiting atomic.Int64
	mu      sync.Mutex
	seq     int64
	state   string
}

func runUpstream(spec UpstreamSpec) error {
	u := &upstream{UpstreamSpec: spec, born: time.Now().UnixMilli(), slots: make(chan struct{}, spec.Slots), state: "ready"}
	ln, err := net.Listen("tcp", spec.Addr)
	if err != nil {
		return err
	}
	go u.beat()
	srv := &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	return srv.Serve(ln)
}

// beat writes the entry of the upstream to the platform at each heartbeat.
func (u *upstream) beat() {
	for ; ; time.Sleep(u.Heartbeat) {
		u.seq++
		entry := map[string]any{
			"address": u.Addr, "born": u.born,
			"info":   map[string]any{"service": u.Service, "version": "v1", "zone": u.Zone, "slots": u.Slots},
			"status": map[string]any{"state": u.state, "sequence": u.seq, "cold_remaining_s": 0},
		}
		data, _ := json.Marshal(entry)
		resp, err := http.Post("http://"+u.Platform+"/heartbeat?id="+u.ID, "application/json", strings.NewReader(string(data)))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}

// report writes to the record, before what it tells of goes on.
func (u *upstream) report(event, id string, detail string) {
	resp, err := http.PostForm("http://"+u.Platform+"/record", url.Values{"event": {event}, "id": {id}, "server": {u.ID}, "detail": {detail}})
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", len(u.slots), u.waiting.Load(), u.Slots)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Instance-Id", u.ID)
	if id != "" {
		h.Set("X-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != u.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := u.readBody(r.Body)
	if err != nil {
		u.report("cut", id, fmt.Sprintf("its body ended after %d bytes: %v", len(body), err))
		return
	}
	deadline := time.After(30 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("X-Request-Deadline")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	u.waiting.Add(1)
	select {
	case u.slots <- struct{}{}:
		u.waiting.Add(-1)
	case <-deadline:
		u.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	defer func() { <-u.slots }()
	u.report("runs", id, r.Method+" "+r.RequestURI+" body "+strconv.Itoa(len(body)))
	crash := u.CrashPath != "" && strings.HasPrefix(r.URL.Path, u.CrashPath)
	closed := r.Context().Done()
	if u.GoesOn {
		closed = nil
	}
	select {
	case <-time.After(u.Work):
	case <-closed:
		u.report("dropped", id, "its connection was closed")
		return
	}
	h.Set("X-Response-Signature", "sig."+u.ID+"."+id)
	h.Set("X-Server-Load", u.load())
	h.Set("Content-Type", "application/octet-stream")
	size := u.BodyBytes
	if q := r.URL.Query().Get("bytes"); q != "" {
		size, _ = strconv.Atoi(q)
	}
	h.Set("Content-Length", strconv.Itoa(size))
	answer := []byte(strings.Repeat("0123456789abcdef", size/16+1)[:size])
	if crash {
		if u.CrashAfter > 0 {
			_, _ = w.Write(answer[:min(u.CrashAfter, size)])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(200 * time.Millisecond) // The rest of the answer is still being made.
		}
		u.report("crashes", id, "the process ends")
		os.Exit(3)
	}
	_, _ = w.Write(answer)
	u.report("answered", id, "200")
}

// readBody reads a body, as slowly as the upstream reads.
func (u *upstream) readBody(r io.Reader) ([]byte, error) {
	if u.ReadPerSecond == 0 {
		return io.ReadAll(r)
	}
	part := make([]byte, 16<<10)
	var body []byte
	for {
		n, err := r.Read(part)
		body = append(body, part[:n]...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(u.ReadPerSecond))
	}
}
