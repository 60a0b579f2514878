// Package beryltokenusage describes how much of a token batch a daemon has used.
package beryltokenusage

// Usage reports that Tokens of the batch BatchID have been spent since it was
// granted. Closed means that the daemon will spend no more of the batch. A
// report may be delivered twice or not at all.
type Usage struct {
	BatchID uint64
	Tokens  float64
	Closed  bool
}
