package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const longestRun = 115 * time.Second

// main runs a case: standin CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run. TROUBLE=0 leaves out the disruption.
func main() {
	cases := map[string]func(w *World) bool{"body-hole": bodyHole, "body-again": bodyAgain, "slow-lender": slowLender, "drain-queue": drainQueue, "crash-again": crashAgain, "mixed-faults": mixedFaults}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: standin CASE RECORD")
	}
	time.AfterFunc(longestRun, func() { fail("the case takes longer than %v", longestRun) })
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fail("got %s", <-ends) }()
	w := NewWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	held := cases[os.Args[1]](w)
	w.End()
	if !held {
		fmt.Println("the rule was broken")
		exit(1)
	}
	fmt.Println("the rule held")
	exit(0)
}
