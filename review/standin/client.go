package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is what a client got for a request.
type Reply struct {
	ID        string
	At, Ended time.Time
	Status    int // 0 without an answer
	Signed    bool
	Body      string
	Err       error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}

func get(url string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// Ask sends a request to the daemon of the client's machine and waits for the answer.
func (n *Node) Ask(method, path, key, id string, limit time.Duration, body string) Reply {
	out := Reply{ID: id, At: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	check(err)
	r.Host = "shop.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(limit.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("X-Credential", key)
	}
	n.w.Note("client at %s: sends %s %s %s", n.name, id, method, path)
	resp, err := client.Do(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		out.Status, out.Body, out.Signed = resp.StatusCode, string(b), resp.Header.Get("X-Response-Signature") != ""
	}
	out.Err, out.Ended = err, time.Now()
	n.w.Note("client at %s: %s gets %s", n.name, id, out)
	return out
}

func (r Reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("no whole answer (%d): %v", r.Status, r.Err)
	}
	return fmt.Sprintf("%d, signed %v, %d bytes", r.Status, r.Signed, len(r.Body))
}
