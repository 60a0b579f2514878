package berylhttpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// An answer whose body breaks off must not look complete to the caller, even if nothing of it
// was sent yet.
func TestAnswerWhoseBodyBreaksOffIsNeverComplete(t *testing.T) {
	broken := errors.New("broken")
	for _, tc := range []struct {
		name   string
		body   string
		stream io.Reader
		length int64
	}{
		{"length, before the first byte", "", iotest.ErrReader(broken), 12},
		{"length, after the buffered part", "hello ", iotest.ErrReader(broken), 12},
		{"length, in the middle", "hello ", io.MultiReader(strings.NewReader("wor"), iotest.ErrReader(broken)), 12},
		{"length, after the last byte", "hello ", io.MultiReader(strings.NewReader("world!"), iotest.ErrReader(broken)), 12},
		{"length, body ends early", "hello ", strings.NewReader("wor"), 12},
		{"length, body is empty", "", strings.NewReader(""), 12},
		{"chunks, before the first byte", "", iotest.ErrReader(broken), -1},
		{"chunks, after the buffered part", "hello ", iotest.ErrReader(broken), -1},
		{"chunks, after the last byte", "hello ", io.MultiReader(strings.NewReader("world!"), iotest.ErrReader(broken)), -1},
		{"chunks, unexpected end", "hello ", iotest.ErrReader(io.ErrUnexpectedEOF), -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, dial := startServer(t, func(context.Context, *Request) *Answer {
				return &Answer{Status: 200, Header: http.Header{}, Body: []byte(tc.body), Stream: io.NopCloser(tc.stream), Length: tc.length}
			})
			c := dial()
			_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(resp.Body)
				if tc.name != "length, after the last byte" { // All of the body was sent.
					require.Error(t, err, "body %q", body)
				}
			}
			_, err = br.ReadByte()
			require.Error(t, err, "the connection must be closed")
		})
	}
}
