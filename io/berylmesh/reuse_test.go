package berylmesh

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// After it has refused a request whose body it did not read, an instance closes the connection.
// The sender could use it again before it noticed that.
func TestConnectionOfRefusedUploadIsNotUsedAgain(t *testing.T) {
	m, addr := newPair(t, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
		if req.Stream == nil {
			return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
		}
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonThrottled)
	})
	for i := range 300 {
		upload := newRequest(fmt.Sprint("upload", i))
		upload.Body, upload.Length = make([]byte, maxWholeBody), -1
		upload.Stream = bytes.NewReader(make([]byte, 100))
		require.Equal(t, berylreply.ReasonThrottled, m.Send(context.Background(), addr, upload).Reason)
		require.Equal(t, berylreply.ReasonQueueFull, m.Send(context.Background(), addr, newRequest(fmt.Sprint("next", i))).Reason, "request %d", i)
	}
}
