// Package berylheadernames holds the names of the header fields that are exchanged with
// callers and backend servers.
package berylheadernames

// Names holds header names in canonical form. A deployment may use other names than
// the default ones.
type Names struct {
	RequestID         string // ID of the request, the same at every hop
	TimeLeft          string // milliseconds for which the sender still waits for the response
	APIKey            string // API key of the caller, never forwarded
	Workspace         string // workspace of the API key, set for backend servers
	CallerService     string // service of the instance where the request entered
	TargetServer      string // ID of the backend server that the request is meant for
	ResponseSignature string // proof that a backend server made the response
	NotExecuted       string // set if the backend server did not execute the request
	ServingServer     string // ID of the backend server that responds
	ServerLoad        string // of the responding server: running requests, waiting requests, slots
	ServerLimit       string // requests per second, a decimal number, that the responding server accepts from the whole fleet
	ServerLeaving     string // set to 1 if the responding server is shutting down
}

// Default returns the default names.
func Default() Names {
	return Names{
		RequestID: "Beryl-Call", TimeLeft: "Beryl-Left", APIKey: "Beryl-Key", Workspace: "Beryl-Workspace",
		CallerService: "Beryl-Caller", TargetServer: "Beryl-Instance", ResponseSignature: "Beryl-Receipt",
		NotExecuted: "Beryl-Not-Run", ServingServer: "Beryl-Actual", ServerLoad: "Beryl-Load",
		ServerLimit: "Beryl-Limit", ServerLeaving: "Beryl-Leaving",
	}
}
