// Package berylnames lists the header fields of callers and backend servers.
package berylnames

// Names are canonical header names. A deployment may replace them.
type Names struct {
	Request   string // id of the request, unchanged on its way
	Left      string // milliseconds that the caller, or the instance, still waits
	Key       string // the caller's key; never passed on
	Workspace string // workspace of the key, set for backend servers
	Caller    string // service of the instance where the request began
	Instance  string // id of the backend server that a request is meant for
	Receipt   string // proof that a backend server made the answer
	NotRun    string // says that the backend server did not run the request
	Actual    string // id of the backend server that answers
	Load      string // running and waiting requests and slots of the answering server
}

// Default returns the names of the product's own interface.
func Default() Names {
	return Names{
		Request: "Beryl-Call", Left: "Beryl-Left", Key: "Beryl-Key", Workspace: "Beryl-Workspace",
		Caller: "Beryl-Caller", Instance: "Beryl-Instance", Receipt: "Beryl-Receipt",
		NotRun: "Beryl-Not-Run", Actual: "Beryl-Actual", Load: "Beryl-Load",
	}
}
