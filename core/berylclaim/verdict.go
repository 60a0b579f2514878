// Package berylclaim defines the verdict on a call with an idempotency key.
package berylclaim

// Verdict is the answer of the owner of an idempotency key to a claim. Its values are
// sent between daemons, so their order must not change.
type Verdict int

// The verdicts.
const (
	Allowed           Verdict = iota // the call may run
	Completed                        // a call with the key has completed
	Indeterminate                    // a call with the key is running, or may have run
	RecordsIncomplete                // the owner may have no record of the key although it was used
	TooManyRecords                   // the owner can keep no more records
)
