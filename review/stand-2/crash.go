package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// crashCase: a download crashes each upstream that runs it, while its answer is on the way. The
// client sends it again and again, as the pages say of such a request.
func crashCase(p *Platform, trouble bool) (string, error) {
	const (
		stable  = 3 * time.Second // stable_window_s
		pause   = 3 * time.Second
		length  = 40 * time.Second
		size    = 600_000
		retries = 3
	)
	entry := p.add("a", "front", UpstreamSpec{Slots: 20, Work: 20 * time.Millisecond, BodyBytes: 400})
	for i := range 7 {
		spec := UpstreamSpec{Slots: 20, Work: 20 * time.Millisecond, BodyBytes: 400}
		if trouble {
			spec.CrashPath, spec.CrashAfter = "/scan/bad/", crashAfter()
		}
		m := p.add([]string{"a", "b"}[i%2], "archive", spec)
		m.restart = 2 * time.Second
	}
	p.configure(1, map[string]any{"scan": route("/scan/", "download", "archive", 2, 8), "pay": route("/pay/", "unsafe", "archive", 1, 8)}, "front", "archive")
	if err := p.startAll(); err != nil {
		return "", err
	}
	lost := entry.sendOrders()
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		entry.send(Ask{Method: "GET", Host: "shop.example", Path: fmt.Sprintf("/scan/bad/1?bytes=%d", size), ID: fmt.Sprintf("bad-%d", n), Key: "k-acme", Limit: 6 * time.Second})
		time.Sleep(pause)
	}
	lostOrders := lost()
	crashes := p.all("crashes")
	if !trouble {
		for _, e := range p.all("got") {
			if !strings.HasPrefix(e.Detail, "200") {
				return fmt.Sprintf("%s got %s without trouble", e.ID, e.Detail), nil
			}
		}
		return "", nil
	}
	if len(crashes) < 3 {
		return "", nil
	}
	after := crashes[2].At + stable
	late := 0
	for _, e := range p.all("runs") {
		if strings.HasPrefix(e.ID, "bad-") && e.At > after {
			late++
		}
	}
	p.log("result", "", "", fmt.Sprintf("%d crashes; the request reached upstreams %d times later than %s after the third; %d orders of others got neither an answer nor a refusal", len(crashes), late, stable, lostOrders))
	fmt.Printf("%d crashes; %d arrivals later than %s after the third (at most %d are allowed); %d orders of others lost\n", len(crashes), late, stable, retries, lostOrders)
	if late > retries {
		return fmt.Sprintf("BUDGET: the request reached upstreams %d times", late), nil
	}
	return "", nil
}

// crashAfter returns how many bytes of its answer an upstream sends before it ends. With
// CRASH_AFTER=0 it ends before its answer, which the daemons notice: the rule then holds.
func crashAfter() int {
	if n, err := strconv.Atoi(os.Getenv("CRASH_AFTER")); err == nil {
		return n
	}
	return 400_000
}

// mixedForms reports whether an upload is sent in both forms. With FORMS=1 it always has a length.
func mixedForms() bool { return os.Getenv("FORMS") != "1" }

// leaveAfter returns when a client gives up. With LEAVE=0 it stays.
func leaveAfter() time.Duration {
	if os.Getenv("LEAVE") == "0" {
		return 0
	}
	return 300 * time.Millisecond
}

// sendOrders sends 20 orders a second, each once, as other clients do. The function that it returns
// ends that and returns how many got neither an answer of an upstream nor a refusal.
func (m *Machine) sendOrders() (lost func() int) {
	stop := make(chan struct{})
	done := make(chan int)
	go func() {
		results := make(chan bool, 10_000)
		n, lost := 0, 0
		for {
			select {
			case <-stop:
				for range n {
					if !<-results {
						lost++
					}
				}
				done <- lost
				return
			case <-time.After(50 * time.Millisecond):
			}
			n++
			id := fmt.Sprintf("pay-%d", n)
			go func() {
				a := m.send(Ask{Method: "POST", Host: "shop.example", Path: "/pay/x", ID: id, Key: "k-acme", Body: []byte(id), Limit: 6 * time.Second})
				results <- a.Status == 200 || a.Status == 503
			}()
		}
	}()
	return func() int {
		close(stop)
		return <-done
	}
}
