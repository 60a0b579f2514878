// Package beryllifetime identifies the lifetimes of backend servers.
package beryllifetime

// Lifetime is the time from a start of a backend server to its end. A server that starts
// again may keep its ID, but holds and knows nothing of the lifetime before.
type Lifetime struct {
	ID     string
	BornMs int64 // start in Unix milliseconds
}
