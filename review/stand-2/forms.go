package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// formsCase: an upload crashes each upstream that runs it. The client sends it again and again, now
// with a length, now in chunks.
func formsCase(p *Platform, trouble bool) (string, error) {
	const (
		stable  = 3 * time.Second // stable_window_s
		pause   = 3 * time.Second
		length  = 36 * time.Second
		size    = 100_000
		retries = 3
	)
	entry := p.add("a", "front", UpstreamSpec{Slots: 20, Work: 20 * time.Millisecond, BodyBytes: 400})
	for i := range 7 {
		spec := UpstreamSpec{Slots: 20, Work: 20 * time.Millisecond, BodyBytes: 400}
		if trouble {
			spec.CrashPath = "/up/bad/"
		}
		m := p.add([]string{"a", "b"}[i%2], "archive", spec)
		m.restart = 2 * time.Second
	}
	p.configure(1, map[string]any{"up": route("/up/", "upload", "archive", 2, 8), "pay": route("/pay/", "unsafe", "archive", 1, 8)}, "front", "archive")
	if err := p.startAll(); err != nil {
		return "", err
	}
	body := bytes.Repeat([]byte("scan"), size/4)
	lost := entry.sendOrders()
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		entry.send(Ask{Method: "POST", Host: "shop.example", Path: "/up/bad/1", ID: fmt.Sprintf("bad-%d", n), Key: "k-acme", Body: body, Chunked: n%2 == 1 && mixedForms(), Limit: 6 * time.Second})
		time.Sleep(pause)
	}
	lostOrders := lost()
	if !trouble {
		for _, e := range p.all("got") {
			if !strings.HasPrefix(e.Detail, "200") {
				return fmt.Sprintf("%s got %s without trouble", e.ID, e.Detail), nil
			}
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
