package berylagenda_test

import (
	"fmt"
	"time"

	"berylspan/core/berylagenda"
)

func ExampleAgenda() {
	var a berylagenda.Agenda
	say := func(what string) func() {
		return func() { fmt.Println(a.Now(), what) }
	}
	a.After(2*time.Second, say("second"))
	a.After(time.Second, func() {
		say("first")()
		a.After(time.Second, say("planned by the first"))
	})
	a.After(time.Minute, say("never"))
	a.Run(10 * time.Second)
	// Output:
	// 1s first
	// 2s second
	// 2s planned by the first
}
