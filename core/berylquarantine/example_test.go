package berylquarantine_test

import (
	"fmt"
	"time"

	"berylspan/core/berylquarantine"
)

// Two requests run together at the ends of three servers. The first one is answered in its trial,
// the second ends the server of its own.
func Example() {
	now := time.Unix(1000, 0)
	q := berylquarantine.New()
	for lifetime := range uint64(3) {
		q.ServerEnded(now, lifetime, []uint64{10, 20}, 0)
	}
	fmt.Println(q.Check(now, 10))
	fmt.Println(q.Check(now, 20))
	q.Answered(now, 10)
	q.ServerEnded(now, 4, []uint64{20}, 20)
	fmt.Println(q.Check(now, 10))
	fmt.Println(q.Check(now, 20))
	// Output:
	// true 0s
	// true 0s
	// false 0s
	// true 1m0s
}
