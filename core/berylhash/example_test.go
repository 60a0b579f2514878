package berylhash_test

import (
	"fmt"

	"berylspan/core/berylhash"
)

// When the first instance is removed, the second takes its place and the order of
// the others does not change.
func ExampleTop() {
	ids := []string{"scans-1", "scans-2", "scans-3", "scans-4"}
	all := berylhash.Top(4, "mx1/17", ids)
	without := berylhash.Top(3, "mx1/17", all[1:])
	fmt.Println(without[0] == all[1], without[2] == all[3])
	// Output: true true
}
