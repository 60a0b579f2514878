package main

import (
	"fmt"
	"strings"
	"time"
)

// leaverCase: a request crashes each upstream that runs it, after some work. Its client gives up
// before that and sends it again. Three of the seven upstreams do not drop a request when its connection closes.
func leaverCase(p *Platform, trouble bool) (string, error) {
	const (
		stable  = 3 * time.Second // stable_window_s
		work    = time.Second     // of every request
		pause   = 2 * time.Second
		window  = 5500 * time.Millisecond // in which clients give up, as long as in the site file
		gap     = 5500 * time.Millisecond // between two windows, in which the request does not come
		windows = 7
		retries = 3
	)
	entry := p.add("a", "front", UpstreamSpec{Slots: 20, Work: 20 * time.Millisecond, BodyBytes: 400})
	for i := range 7 {
		spec := UpstreamSpec{Slots: 20, Work: work, BodyBytes: 400, GoesOn: i < 3}
		if trouble {
			spec.CrashPath = "/scan/bad/"
		}
		m := p.add([]string{"a", "b"}[i%2], "archive", spec)
		m.restart = 2 * time.Second
	}
	p.configure(1, map[string]any{"scan": route("/scan/", "safe", "archive", 2, 5), "pay": route("/pay/", "unsafe", "archive", 1, 8)}, "front", "archive")
	if err := p.startAll(); err != nil {
		return "", err
	}
	lost := entry.sendOrders()
	n := 0
	for range windows {
		for begin := time.Now(); time.Since(begin) < window-leaveAfter(); n++ {
			entry.send(Ask{Method: "GET", Host: "shop.example", Path: "/scan/bad/1", ID: fmt.Sprintf("bad-%d", n), Key: "k-acme", Limit: 6 * time.Second, Leave: leaveAfter()})
			time.Sleep(pause)
		}
		time.Sleep(gap)
	}
	lostOrders := lost()
	if !trouble {
		for _, e := range p.all("got") {
			if !strings.HasPrefix(e.Detail, "200") && !strings.Contains(e.Detail, "deadline exceeded") {
				return fmt.Sprintf("%s got %s without trouble", e.ID, e.Detail), nil
			}
		}
		if n := len(p.all("crashes")); n > 0 {
			return fmt.Sprintf("%d crashes without trouble", n), nil
		}
		return "", nil
	}
	crashes := p.all("crashes")
	if len(crashes) < 3 {
		return "", nil
	}
	late := 0
	for _, e := range p.all("runs") {
		if strings.HasPrefix(e.ID, "bad-") && e.At > crashes[2].At+stable {
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
