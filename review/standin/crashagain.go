package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	crashServers = 7
	crashEvery   = 4 * time.Second
	crashComes   = 16 // times that a client sends the request
	crashBack    = 3 * time.Second
	crashRetries = 3 // that may reach servers, as of the rule
)

// crashAgain: a request with a long body crashes each server that begins to run it, and comes
// again. Other requests of the same tenant have other bodies and do no harm.
func crashAgain(w *World) bool {
	size := uploadSize
	if n, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		size = n
	}
	w.AddNode("front", "z-a", 40)
	bad := bytes.Repeat([]byte("bad"), size/3)
	badDigest := digest(bad)
	for range crashServers {
		w.AddNode("back", "z-a", 8)
	}
	for _, n := range w.nodes[1:] {
		u := n.up
		u.Work = func(*http.Request) time.Duration { return 150 * time.Millisecond }
		u.Crashes = func(bodyDigest string) bool { return bodyDigest == badDigest }
		u.Crashed = func() {
			time.Sleep(crashBack)
			u.Start()
			u.Enlist("ready")
		}
	}
	w.store.Put("op/config", uploadConfig("unsafe"))
	w.Begin()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, n := range w.nodes {
		wg.Go(func() {
			rnd := rand.New(rand.NewSource(int64(i)))
			var asks sync.WaitGroup
			for k := 0; ; k++ {
				select {
				case <-stop:
					asks.Wait()
					return
				case <-time.After(200 * time.Millisecond):
				}
				body := make([]byte, len(bad))
				_, _ = rnd.Read(body) // Never fails.
				asks.Go(func() { n.AskChunked("/up/x", "k-acme", fmt.Sprintf("n%d-r%d", i, k), 6*time.Second, body) })
			}
		})
	}
	for k := range crashComes {
		if w.trouble {
			n := w.nodes[k%len(w.nodes)]
			wg.Go(func() { n.AskChunked("/up/x", "k-acme", fmt.Sprintf("bad-%d", k), 6*time.Second, bad) })
		}
		time.Sleep(crashEvery)
	}
	close(stop)
	wg.Wait()
	return w.crashesBounded(badDigest)
}

// crashesBounded reports whether the request reached servers in no more retries than it may,
// later than stableWindow after it crashed the third.
func (w *World) crashesBounded(badDigest string) bool {
	var runs []Run
	for _, n := range w.nodes {
		for _, r := range n.up.Runs() {
			if r.BodyDigest == badDigest {
				runs = append(runs, r)
			}
		}
	}
	sortRuns(runs)
	late := 0
	for i, r := range runs {
		w.Note("crash %d: %s at %s, at %.3f", i+1, r.ID, r.Server, w.At(r.At))
		if i >= crashRetries && r.At.After(runs[crashRetries-1].At.Add(stableWindow)) {
			late++
		}
	}
	if late > crashRetries {
		w.Note("broken: %d retries reached servers later than %v after the third crash", late, stableWindow)
	}
	fmt.Printf("%d servers crashed; %d retries reached servers later than %v after the third crash, %d may\n", len(runs), late, stableWindow, crashRetries)
	return late <= crashRetries
}
