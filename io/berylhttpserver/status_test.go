package berylhttpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The caller gets 502 in place of a status that no answer may have, and then the answer to its
// next request.
func TestImpossibleStatusIsWritten(t *testing.T) {
	for _, status := range []int{-200, 0, 20, 99, 100, 101, 199, 600, 999, 2000} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/streamed %v", status, streamed), func(t *testing.T) {
				_, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
					if r.Path != "/bad" {
						return textAnswer("next")
					}
					a := &Answer{Status: status, Header: http.Header{}, Body: []byte("body")}
					if streamed {
						a.Stream, a.Length = io.NopCloser(strings.NewReader("more")), -1
					}
					return a
				})
				c := dial()
				_, err := io.WriteString(c, "GET /bad HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				require.Equal(t, []string{"502 ", "200 next"}, readAnswers(t, c, 2))
			})
		}
	}
}
