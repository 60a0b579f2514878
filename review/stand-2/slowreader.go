package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// uploader is a client that keeps its connections for further requests.
type uploader struct {
	p     *Platform
	entry *Machine
	idle  chan net.Conn
	n     atomic.Int64
}

// exchange sends a request on a connection and reads its answer. It returns the status, or 0 if
// the connection ended without a whole answer.
func (u *uploader) exchange(c net.Conn, method, path, id string, body []byte, limit time.Duration) (status int, keep bool) {
	_ = c.SetDeadline(time.Now().Add(limit + 2*time.Second))
	u.p.log("sent", id, u.entry.name, fmt.Sprintf("%s %s body %d", method, path, len(body)))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\nX-Credential: k-acme\r\nContent-Length: %d\r\n\r\n", method, path, id, limit.Milliseconds(), len(body))
	if err == nil {
		_, err = c.Write(body)
	}
	resp, readErr := http.ReadResponse(bufio.NewReader(c), nil)
	if readErr == nil {
		_, readErr = io.Copy(io.Discard, resp.Body)
	}
	if readErr != nil {
		u.p.log("got", id, u.entry.name, fmt.Sprintf("no answer: %v %v", err, readErr))
		return 0, false
	}
	u.p.log("got", id, u.entry.name, fmt.Sprintf("%d, retry after %q", resp.StatusCode, resp.Header.Get("Retry-After")))
	return resp.StatusCode, err == nil && !resp.Close
}

// connection returns a kept connection, on which a request was answered before.
func (u *uploader) connection(i int64) (net.Conn, error) {
	select {
	case c := <-u.idle:
		return c, nil
	default:
	}
	// Clients have addresses of their own.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.%d.1.%d", u.p.net, 1+i%250))}}
	c, err := d.Dial("tcp", u.entry.outbound())
	if err != nil {
		return nil, err
	}
	if status, keep := u.exchange(c, "GET", "/home/", fmt.Sprintf("first-%d", i), nil, 3*time.Second); status != 200 || !keep {
		return nil, fmt.Errorf("first request of a connection: %d", status)
	}
	return c, nil
}

// slowReaderCase: uploads of one size at a steady rate. With trouble, the upstreams read their
// bodies slowly; they still run and answer each of them within its time limit.
func slowReaderCase(p *Platform, trouble bool) (string, error) {
	const (
		size      = 300_000 // bytes; kind upload, at most 360,000 in the site file
		perSecond = 30      // uploads
		length    = 9 * time.Second
		limit     = 8 * time.Second // the clients' time limit and the route's timeout
		slow      = 50_000          // bytes a second that an upstream reads of each body
		most      = 3
	)
	entry := p.add("a", "front", UpstreamSpec{Slots: 40, Work: 5 * time.Millisecond, BodyBytes: 400})
	for i := range 3 {
		spec := UpstreamSpec{Slots: 253, Work: 220 * time.Millisecond, BodyBytes: 400}
		if trouble {
			spec.ReadPerSecond = slow
		}
		p.add([]string{"a", "b"}[i%2], "documents", spec)
	}
	for _, m := range p.machines {
		m.memoryMB, m.linkMbps = 184, 200
	}
	p.configure(1, map[string]any{"up": route("/up/", "upload", "documents", 2, limit.Seconds()), "home": route("/home/", "safe", "front", 2, 3)}, "front", "documents")
	if err := p.startAll(); err != nil {
		return "", err
	}
	u := &uploader{p: p, entry: entry, idle: make(chan net.Conn, 10_000)}
	body := bytes.Repeat([]byte("scan"), size/4)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	var unanswered []string
	t := time.NewTicker(time.Second / perSecond)
	defer t.Stop()
	for begin := time.Now(); time.Since(begin) < length; <-t.C {
		wg.Go(func() {
			i := u.n.Add(1)
			c, err := u.connection(i)
			if err != nil {
				p.log("client", "", "", err.Error())
				return
			}
			id := fmt.Sprintf("up-%d", i)
			status, keep := u.exchange(c, "POST", "/up/x", id, body, limit)
			mu.Lock()
			statuses[status]++
			if status == 0 {
				unanswered = append(unanswered, id)
			}
			mu.Unlock()
			if !keep {
				_ = c.Close()
				return
			}
			u.idle <- c
		})
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, kind := range []string{"runs", "cut"} {
		for _, e := range p.all(kind) {
			ran[e.ID] = true
		}
	}
	lost := 0
	for _, id := range unanswered {
		if ran[id] {
			lost++
		}
	}
	p.log("result", "", "", fmt.Sprintf("answers by status, 0 for none: %v; passed on and closed without an answer: %d", statuses, lost))
	fmt.Printf("answers by status, 0 for none: %v; passed on from a kept connection that was closed without an answer: %d (at most %d are allowed)\n", statuses, lost, most)
	if !trouble && (len(statuses) != 1 || statuses[200] == 0) {
		return fmt.Sprintf("without trouble: %v", statuses), nil
	}
	if lost > most {
		return fmt.Sprintf("LOST: %d uploads", lost), nil
	}
	return "", nil
}
