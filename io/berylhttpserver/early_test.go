package berylhttpserver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer that came before the end of a long request body was lost with its connection.
func TestAnswerBeforeEndOfLongBodyIsLost(t *testing.T) {
	const length = 8 << 20
	limits := testLimits()
	limits.MaxBodyBytes = 2 * length
	nc := startWithLimits(t, limits, func(context.Context, *Request) *Answer {
		return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: []byte("refused")}
	})
	_, err := io.WriteString(nc, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n")
	require.NoError(t, err)
	_, err = io.WriteString(nc, strings.Repeat("a", length))
	require.NoError(t, err)
	require.Equal(t, []string{"503 refused"}, readAnswers(t, nc, 1))
}
