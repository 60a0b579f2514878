package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverRun is a request that a server ran and the answer that it meant to give.
type serverRun struct {
	id, server, sig, bodyDigest, answerDigest string
	bodyLen                                   int
	at                                        time.Time
	broke                                     bool
	status                                    int
}

// mixed is the play of mixed faults: what servers ran, and the share of answers that are faulty.
type mixed struct {
	w    *World
	mu   sync.Mutex
	runs []serverRun
	n    int
	p    float64
}

// answerBody returns a body of about n bytes that tells whose it is.
func answerBody(sig string, n int) []byte {
	return bytes.Repeat([]byte(sig+"|"), n/(len(sig)+1)+1)
}

func (ch *mixed) serve(u *Upstream, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go ch.conn(u, c)
	}
}

// rst resets a connection.
func rst(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }

func (ch *mixed) conn(u *Upstream, c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var wmu sync.Mutex
	answering := false
	write := func(b []byte) error { wmu.Lock(); defer wmu.Unlock(); _, err := c.Write(b); return err }
	late := func(b []byte) {
		wmu.Lock()
		defer wmu.Unlock()
		if !answering {
			_, _ = c.Write(b)
		}
	}
	setAnswering := func(on bool) { wmu.Lock(); answering = on; wmu.Unlock() }
	for k := 0; ; k++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Target-Instance"); want != u.id {
			write([]byte(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id, id)))
			io.Copy(io.Discard, r.Body)
			continue
		}
		fault := ""
		if rand.Float64() < ch.p {
			fs := []string{"rej-noid", "rej-id", "rej-early", "rej-early-close", "early-ok", "lose", "lose-rst", "break-rst", "break-fin", "dup", "duplate", "500", "garbage", "extra", "1xx", "hang", "idle-rst", "rejdup"}
			if e := os.Getenv("FAULTS"); e != "" {
				fs = strings.Split(e, ",")
			}
			fault = fs[rand.Intn(len(fs))]
		}
		rej := func(withID bool, close bool) []byte {
			s := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
			if withID {
				s += "X-Attempt-Id: " + id + "\r\n"
			}
			if close {
				s += "Connection: close\r\n"
			}
			return []byte(s + "Content-Length: 0\r\n\r\n")
		}
		switch fault {
		case "rej-early":
			write(rej(rand.Intn(2) == 0, false))
			time.Sleep(30 * time.Millisecond)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		case "rej-early-close":
			write(rej(true, true))
			time.Sleep(10 * time.Millisecond)
			return
		case "rej-noid", "rej-id", "rejdup":
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			write(rej(fault != "rej-noid", false))
			if fault == "rejdup" {
				time.AfterFunc(time.Duration(rand.Intn(30))*time.Millisecond, func() { late(rej(rand.Intn(2) == 0, false)) })
			}
			continue
		}
		var body []byte
		early := fault == "early-ok"
		if !early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		ch.mu.Lock()
		ch.n++
		sig := fmt.Sprintf("s%d", ch.n)
		ch.mu.Unlock()
		sizes := []int{50, 3000, 70_000, 300_000, 600_000}
		ab := answerBody(sig, sizes[rand.Intn(len(sizes))])
		run := serverRun{id: id, server: u.id, sig: sig, bodyLen: len(body), bodyDigest: digest(body), answerDigest: digest(ab), at: time.Now(), status: 200}
		if early {
			run.bodyDigest = ""
		}
		if fault == "500" {
			run.status = 500
		}
		if strings.HasPrefix(fault, "break") {
			run.broke = true
		}
		ch.mu.Lock()
		ch.runs = append(ch.runs, run)
		ch.mu.Unlock()
		ch.w.Note("server %s runs %s body %d sig %s fault %s", u.id, id, len(body), sig, fault)
		time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
		framing := rand.Intn(3)
		status := "200 OK"
		if run.status == 500 {
			status = "500 Internal Server Error"
		}
		head := fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n", status, id, sig)
		var payload []byte
		switch framing {
		case 0:
			head += "Content-Length: " + strconv.Itoa(len(ab)) + "\r\n\r\n"
			payload = ab
		case 1:
			head += "Transfer-Encoding: chunked\r\n\r\n"
			var b bytes.Buffer
			for rest := ab; len(rest) > 0; {
				n := min(len(rest), 1+rand.Intn(40000))
				fmt.Fprintf(&b, "%x\r\n", n)
				b.Write(rest[:n])
				b.WriteString("\r\n")
				rest = rest[n:]
			}
			b.WriteString("0\r\n\r\n")
			payload = b.Bytes()
		default:
			head += "Connection: close\r\n\r\n"
			payload = ab
		}
		whole := append([]byte(head), payload...)
		ch.w.Note("answer to %s %s: framing %d, %d bytes, digest %s", id, sig, framing, len(ab), run.answerDigest)
		setAnswering(true)
		switch fault {
		case "lose":
			return
		case "lose-rst":
			rst(c)
			return
		case "hang":
			time.Sleep(7 * time.Second)
			return
		case "break-rst", "break-fin":
			if framing == 2 && fault == "break-fin" {
				// a FIN ends an answer without a length: it is complete then
				ch.mu.Lock()
				for i := range ch.runs {
					if ch.runs[i].sig == sig {
						ch.runs[i].broke = false
						ch.runs[i].answerDigest = ""
					}
				}
				ch.mu.Unlock()
			}
			n := len(head) + rand.Intn(len(payload))
			ch.w.Note("break %s %s after %d of %d", id, sig, n-len(head), len(payload))
			write(whole[:n])
			time.Sleep(time.Duration(rand.Intn(40)) * time.Millisecond)
			if fault == "break-rst" {
				rst(c)
			}
			return
		case "garbage":
			write([]byte("\x00\x01garbage\r\n\r\nHTTP/1.1"))
			return
		case "1xx":
			write([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"))
		}
		if err := write(whole); err != nil {
			return
		}
		if early {
			time.Sleep(30 * time.Millisecond)
			if framing == 2 {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if framing == 2 {
			return
		}
		setAnswering(false)
		switch fault {
		case "dup":
			write(whole)
		case "duplate":
			time.AfterFunc(time.Duration(rand.Intn(60))*time.Millisecond, func() { late(whole) })
		case "extra":
			write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Response-Signature: zz\r\n\r\nabc"))
		case "idle-rst":
			time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
			rst(c)
			return
		}
	}
}

// clientRequest is a request as its client sent it and what it got.
type clientRequest struct {
	id, method, path, digest string
	unsafe                   bool
	body                     []byte
	status                   int
	gotDigest, sig           string
	gotLen                   int
	te                       string
	problem                  string
	ended                    time.Time
}

func (ch *mixed) client(n *Node, seed int64, stop time.Time, all *[]*clientRequest, amu *sync.Mutex) {
	rnd := rand.New(rand.NewSource(seed))
	k := 0
	for time.Now().Before(stop) {
		c, err := net.Dial("tcp", n.outbound)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(c)
		for ok := true; ok && time.Now().Before(stop); {
			batch := 1
			if rnd.Intn(3) == 0 {
				batch = 1 + rnd.Intn(4)
			}
			var reqs []*clientRequest
			var out bytes.Buffer
			for range batch {
				k++
				q := &clientRequest{id: fmt.Sprintf("c%d-%d", seed, k), method: "GET", path: "/safe/x"}
				if batch == 1 {
					switch rnd.Intn(4) {
					case 0:
						q.method, q.path, q.unsafe = "POST", "/pay/x", true
					case 1:
						q.method = "POST"
					}
				}
				if q.method == "POST" {
					sizes := []int{0, 1000, 40_000, 70_000, 300_000}
					q.body = make([]byte, sizes[rnd.Intn(len(sizes))])
					rnd.Read(q.body)
				}
				q.digest = digest(q.body)
				fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: 3000\r\nX-Credential: k-acme\r\n", q.method, q.path, q.id)
				if q.method == "POST" && rnd.Intn(2) == 0 {
					out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
					for rest := q.body; len(rest) > 0; {
						m := min(len(rest), 1+rnd.Intn(20000))
						fmt.Fprintf(&out, "%x\r\n", m)
						out.Write(rest[:m])
						out.WriteString("\r\n")
						rest = rest[m:]
					}
					out.WriteString("0\r\n\r\n")
				} else {
					if q.method == "POST" {
						fmt.Fprintf(&out, "Content-Length: %d\r\n", len(q.body))
					}
					out.WriteString("\r\n")
					out.Write(q.body)
				}
				reqs = append(reqs, q)
				amu.Lock()
				*all = append(*all, q)
				amu.Unlock()
			}
			wrote := make(chan struct{})
			go func() {
				defer close(wrote)
				b := out.Bytes()
				for len(b) > 0 {
					m := min(len(b), 30_000)
					if _, err := c.Write(b[:m]); err != nil {
						return
					}
					b = b[m:]
					if rand.Intn(4) == 0 {
						time.Sleep(time.Millisecond)
					}
				}
			}()
			if rnd.Intn(60) == 0 {
				time.Sleep(time.Duration(rnd.Intn(20)) * time.Millisecond)
				ok = false
				break
			}
			for _, q := range reqs {
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				resp, err := http.ReadResponse(br, &http.Request{Method: q.method})
				if err != nil {
					q.problem, ok = err.Error(), false
					break
				}
				b, err := io.ReadAll(resp.Body)
				q.ended = time.Now()
				if got := resp.Header.Get("X-Attempt-Id"); got != q.id && got != "" {
					q.problem = "FOREIGN id " + got
					ch.w.Note("broken: MIXED %s got id %s", q.id, got)
				}
				if err != nil {
					q.problem, ok = "body: "+err.Error(), false
					q.status = -resp.StatusCode
					break
				}
				q.status, q.gotDigest, q.sig = resp.StatusCode, digest(b), resp.Header.Get("X-Response-Signature")
				q.gotLen, q.te = len(b), fmt.Sprint(resp.TransferEncoding, resp.ContentLength, resp.Close)
				if resp.Header.Get("X-Attempt-Id") != q.id {
					q.te += " noid"
				}
				if resp.Close {
					ok = false
					break
				}
			}
			if ok {
				<-wrote
			}
		}
		c.Close()
	}
}

// mixedFaults is no case: servers misbehave in many ways at once, for requests and answers of all
// lengths. P is the share of faulty answers; ROLL, FREEZE and FAULTS choose further disruptions.
func mixedFaults(w *World) bool {
	ch := &mixed{w: w, p: 0.25}
	if s := os.Getenv("P"); s != "" {
		ch.p, _ = strconv.ParseFloat(s, 64)
	}
	w.AddNode("front", "z-a", 100)
	for range 4 {
		w.AddNode("back", "z-a", 60)
	}
	for _, n := range w.nodes {
		u := n.up
		u.Stop()
		ln, err := net.Listen("tcp", u.addr)
		check(err)
		go ch.serve(u, ln)
	}
	w.store.Put("op/config", map[string]any{
		"version": 7,
		"routes": map[string]any{
			"safe": map[string]any{"host": "shop.example", "path_prefix": "/safe/", "route_type": "safe", "timeout_s": 6, "target_latency_s": 1.5, "priority": 2, "service": "back", "max_attempts": 3},
			"pay":  map[string]any{"host": "shop.example", "path_prefix": "/pay/", "route_type": "unsafe", "timeout_s": 6, "target_latency_s": 1.5, "priority": 0, "service": "back", "max_attempts": 3},
		},
		"services": map[string]any{"front": map[string]any{"max_connections": 400}, "back": map[string]any{"max_connections": 400}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_s": 5, "idle_timeout_s": 10},
		"tenants":  map[string]any{"acme": map[string]any{"api_keys": []string{"k-acme"}}},
	})
	w.Begin()
	var all []*clientRequest
	var amu sync.Mutex
	var wg sync.WaitGroup
	stop := time.Now().Add(40 * time.Second)
	seed := time.Now().UnixNano() % 100000
	for i := range 12 {
		wg.Go(func() { ch.client(w.nodes[i%len(w.nodes)], seed+int64(i), stop, &all, &amu) })
	}
	if os.Getenv("ROLL") != "" {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop.Add(-10 * time.Second)); i++ {
				n := w.nodes[i%len(w.nodes)]
				sig := syscall.SIGTERM
				if i%3 == 2 && os.Getenv("ROLL") != "term" {
					sig = syscall.SIGKILL
				}
				n.Signal(sig)
				<-n.done
				n.StartDaemon()
				n.AwaitReady()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	if os.Getenv("FREEZE") != "" {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop.Add(-10 * time.Second)); i++ {
				n := w.nodes[rand.Intn(len(w.nodes))]
				n.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(300+rand.Intn(3200)) * time.Millisecond)
				n.Signal(syscall.SIGCONT)
				time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	bySig, byID := map[string]serverRun{}, map[string][]serverRun{}
	for _, r := range ch.runs {
		bySig[r.sig] = r
		byID[r.id] = append(byID[r.id], r)
	}
	broken := 0
	bad := func(format string, args ...any) { broken++; w.Note("broken: "+format, args...) }
	counts := map[int]int{}
	for _, q := range all {
		counts[q.status]++
		runs := byID[q.id]
		for _, r := range runs {
			if r.bodyDigest != "" && r.bodyDigest != q.digest {
				bad("UNASKED %s %s ran at %s with %d bytes, sent %d (unsafe %v)", q.id, q.method, r.server, r.bodyLen, len(q.body), q.unsafe)
			}
		}
		if q.unsafe && len(runs) > 1 {
			bad("TWICE %s ran %d times", q.id, len(runs))
		}
		if q.unsafe && len(runs) > 0 && (q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421) {
			bad("REFUSED %s got %d and ran", q.id, q.status)
		}
		if q.status >= 200 && q.status < 300 {
			r, ok := bySig[q.sig]
			switch {
			case !ok:
				bad("MIXED %s success with signature %q", q.id, q.sig)
			case r.id != q.id:
				bad("MIXED %s got the answer to %s", q.id, r.id)
			case r.broke:
				bad("MIXED %s got 2xx whole of a broken answer: %d bytes %s %s at %.3f by %s", q.id, q.gotLen, q.gotDigest, q.te, w.At(q.ended), q.sig)
			case r.answerDigest != "" && r.answerDigest != q.gotDigest:
				bad("MIXED %s got another body: %d bytes %s %s at %.3f by %s", q.id, q.gotLen, q.gotDigest, q.te, w.At(q.ended), q.sig)
			case r.status != q.status:
				bad("MIXED %s status", q.id)
			}
		}
		if q.status < 0 || q.problem != "" {
			w.Note("problem %s unsafe=%v: %s runs %d", q.id, q.unsafe, q.problem, len(runs))
		}
	}
	ids := map[string]bool{}
	for _, q := range all {
		ids[q.id] = true
	}
	for id := range byID {
		if !ids[id] {
			bad("UNASKED id %s", id)
		}
	}
	fmt.Println("requests", len(all), "broken", broken, counts)
	return broken == 0
}
