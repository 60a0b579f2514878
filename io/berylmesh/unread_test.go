package berylmesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// A backend server refuses a request while its body is still written to it. The instance read the
// rest of the body in two places at once.
func TestRefusalWhileBodyIsPassedOn(t *testing.T) {
	for _, size := range []int{100, 100 << 10, 2 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			m, addr := newPair(t, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
				started := make(chan struct{})
				go func() { // As the pool of connections to the backend server does; ends with the connection.
					_, _ = io.CopyN(io.Discard, req.Stream, 1)
					close(started)
					_, _ = io.Copy(io.Discard, req.Stream)
				}()
				<-started
				reply := berylreply.NewFailure(berylattempt.Rejected, berylreply.ReasonRejected)
				reply.ActualServerID = req.ID
				return reply
			})
			for i := range 200 {
				req := newRequest(fmt.Sprint(i))
				req.Body, req.Stream, req.Length = []byte("first"), &slowReader{size}, -1
				reply := m.Send(context.Background(), addr, req)
				require.Equal(t, berylattempt.Rejected, reply.Outcome)
				require.Equal(t, req.ID, reply.ActualServerID)
			}
		})
	}
}

// A backend server answers before it has read the body, and reads on. After the answer the instance
// discarded what came, while it still passed the body on: the server got other bytes as the rest, or
// an end too early.
func TestServerThatAnswersEarlyGetsOtherBytesAsTheRest(t *testing.T) {
	body := make([]byte, 1<<20)
	for i := range len(body) / 8 {
		body[8*i] = byte(i % 251) // Zeros look like the end of a body in chunks.
	}
	for i := range 20 {
		passedOn := make(chan []byte, 1)
		ended := make(chan error, 1)
		m, addr := newPair(t, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
			go func() { // As the pool of connections to the backend server does.
				var got bytes.Buffer
				_, err := io.CopyBuffer(struct{ io.Writer }{&got}, &pausingReader{req.Stream}, make([]byte, 4<<10))
				ended <- err
				passedOn <- got.Bytes()
			}()
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Stream: io.NopCloser(bytes.NewReader(make([]byte, 300<<10))), Length: 300 << 10}
		})
		req := newRequest(fmt.Sprint(i))
		req.Body, req.Stream, req.Length = nil, bytes.NewReader(body), -1
		reply := m.Send(context.Background(), addr, req)
		require.Equal(t, berylattempt.Answered, reply.Outcome)
		answer, err := io.ReadAll(reply.Reader())
		require.NoError(t, err)
		require.Len(t, answer, 300<<10)
		time.Sleep(20 * time.Millisecond) // The answer is passed on to its caller.
		reply.Close()
		err, got := <-ended, <-passedOn
		require.True(t, bytes.HasPrefix(body, got), "upload %d: other bytes within the first %d", i, len(got))
		if err == nil {
			require.Len(t, got, len(body), "upload %d: a part was taken for the whole", i)
		}
	}
}

// pausingReader reads as slowly as a backend server that is busy.
type pausingReader struct{ io.Reader }

func (r *pausingReader) Read(p []byte) (int, error) {
	time.Sleep(200 * time.Microsecond)
	return r.Reader.Read(p)
}
