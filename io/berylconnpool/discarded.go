package berylconnpool

// Discarded is a response that was not believed to answer the request under way. If its status is
// not that of an answer, the request has failed with it.
type Discarded struct {
	RequestID  string // of the request under way
	ResponseID string // that the response names, "" for none
	Status     int
	Rejection  bool // it says that a request did not run
}
