package berylhttpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkOrdinaryHead measures a request with 20 header lines on a kept connection, the
// caller's share included.
func BenchmarkOrdinaryHead(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	answer := &Answer{Status: 200, Header: http.Header{}, Body: []byte("ok")}
	s := New(ln, func(context.Context, *Request) *Answer { return answer }, func(*Request) bool { return false }, testLimits)
	go s.Run(context.Background())
	b.Cleanup(s.Close)
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	var head strings.Builder
	head.WriteString("GET /read/x HTTP/1.1\r\nHost: h.example\r\n")
	for i := range 19 {
		fmt.Fprintf(&head, "X-Ordinary-%d: %s\r\n", i, strings.Repeat("v", 20))
	}
	head.WriteString("\r\n")
	br := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(c, head.String())
		require.NoError(b, err)
		for {
			buf, err := br.Peek(1)
			require.NoError(b, err)
			if buf[0] == 'o' {
				_, err = br.Discard(2)
				require.NoError(b, err)
				break
			}
			_, err = br.ReadSlice('\n')
			require.NoError(b, err)
		}
	}
}
