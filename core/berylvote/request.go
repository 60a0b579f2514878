// Package berylvote defines the request of a candidate for votes. A vote is a
// promise, for a bounded time, not to vote for another owner of the shard.
package berylvote

import "time"

// VoteRequest asks Voter to promise Shards to the candidate. RoundStart is the time of
// the request on the candidate's clock and must be passed on with the answer.
type VoteRequest struct {
	Voter      string
	RoundStart time.Time
	Shards     []int
}
