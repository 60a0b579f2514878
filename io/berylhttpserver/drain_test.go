package berylhttpserver

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainAndClose is a stop with the given time for what runs.
func drainAndClose(s *Server, timeout time.Duration) {
	s.Drain(timeout)
	s.Close()
}

// At the end of a stop, answers that were ready behind one that was not were discarded.
func TestReadyAnswerBehindSlowOneIsLostAtStop(t *testing.T) {
	s, reported, dial := startReportingServer(t, func(ctx context.Context, r *Request) *Answer {
		if r.Path == "/slow" {
			<-ctx.Done()
			return &Answer{Status: http.StatusGatewayTimeout, Header: http.Header{}}
		}
		return textAnswer("ready")
	})
	c := dial()
	_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Busy() == 2 }, time.Second, time.Millisecond)
	go drainAndClose(s, 100*time.Millisecond)
	require.Equal(t, []string{"504 ", "200 ready"}, readAnswers(t, c, 2))
	require.Empty(t, reported.all())
}
