package berylscheduler_test

import (
	"fmt"
	"time"

	"berylspan/core/berylscheduler"
)

func ExampleScheduler() {
	var s berylscheduler.Scheduler
	printer := func(text string) func() {
		return func() { fmt.Println(s.Now(), text) }
	}
	s.After(2*time.Second, printer("second"))
	s.After(time.Second, func() {
		printer("first")()
		s.After(time.Second, printer("scheduled by the first"))
	})
	s.After(time.Minute, printer("never"))
	s.RunUntil(10 * time.Second)
	// Output:
	// 1s first
	// 2s second
	// 2s scheduled by the first
}
