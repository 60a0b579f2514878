package berylsidecar

import "time"

// Settings is what a sidecar needs to run. Addresses are IP addresses with
// ports. Backend, Service and Regions may
// change while it runs.
type Settings struct {
	Name    string            // of the instance, for logs
	Host    string            // IP address of the instance
	Zone    string            // data centre
	Regions map[string]string // by data centre
	Service string            // of the backend server beside the instance
	Backend string            // address of the backend server
	Callers string            // address to listen on for callers
	Ready   string            // address to listen on for readiness checks
	Port    string            // for words, knowledge and metrics, TCP and UDP
	Work    string            // port for requests between instances
	Grace   time.Duration

	Memory         int64 // bytes that the process may take, 0 if unknown
	Sockets        int   // that the process may have open, 0 if unknown
	MaxHeaderLines int   // of a caller's request, 0 for the default
}
