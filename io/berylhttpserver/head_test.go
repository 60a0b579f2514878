package berylhttpserver

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Answers to HEAD had a length of 0 whatever the length of the body would be.
func TestAnswerToHeadHasAnotherLength(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer Answer
		want   string
	}{
		{"known length", Answer{Status: 200, Length: 12}, "12"},
		{"empty", Answer{Status: 200}, "0"},
		{"unknown length", Answer{Status: 200, Length: -1}, ""},
		{"length of a body that is at hand", Answer{Status: 200, Body: []byte("hello"), Length: 5}, "5"},
		{"no content", Answer{Status: 204, Length: -1}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, dial := startServer(t, func(context.Context, *Request) *Answer {
				a := tc.answer
				a.Header, a.OmitBody = http.Header{}, true
				return &a
			})
			c := dial()
			br := bufio.NewReader(c)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			for range 2 { // The second one shows that the first was framed correctly.
				_, err := fmt.Fprint(c, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
				require.NoError(t, err)
				require.Equal(t, tc.answer.Status, resp.StatusCode)
				require.Equal(t, tc.want, resp.Header.Get("Content-Length"))
				require.Empty(t, resp.TransferEncoding)
			}
		})
	}
}
