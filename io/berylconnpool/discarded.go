package berylconnpool

// Discarded is a response that was not believed to answer the request under way.
type Discarded struct {
	RequestID  string // of the request under way
	ResponseID string // that the response names, "" for none
	Status     int
	Rejection  bool // it says that a request did not run
}
