package berylattempt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMayRetry(t *testing.T) {
	for _, tc := range []struct {
		name         string
		outcome      Outcome
		status       int
		unsafe, safe bool // expected result for unsafe and for safe requests
	}{
		{"a complete answer is final", Answered, 200, false, false},
		{"a client error from the backend server is final", Answered, 404, false, false},
		{"a server error is retried only for safe requests", Answered, 500, false, true},
		{"an unsent request is retried", Unsent, 0, true, true},
		{"a rejected request is retried", Rejected, 503, true, true},
		{"a request that may have run is retried only if safe", Unknown, 0, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.unsafe, tc.outcome.MayRetry(false, tc.status))
			require.Equal(t, tc.safe, tc.outcome.MayRetry(true, tc.status))
			require.Equal(t, tc.outcome, Parse(tc.outcome.String()))
		})
	}
}
