package berylhttpserver

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A header that did not arrive in time was refused as malformed, after which callers do not
// try again.
func TestHeaderThatIsLateIsTakenForMalformed(t *testing.T) {
	for _, part := range []string{"GET / HT", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nHo", "GET / HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r"} {
		t.Run(part, func(t *testing.T) {
			limits := testLimits()
			limits.HeaderTimeout = 50 * time.Millisecond
			nc := startWithLimits(t, limits, func(context.Context, *Request) *Answer { return textAnswer("ok") })
			_, err := io.WriteString(nc, part)
			require.NoError(t, err)
			require.Equal(t, []string{"408 "}, readAnswers(t, nc, 1))
		})
	}
}
