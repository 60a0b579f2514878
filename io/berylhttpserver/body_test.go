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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A planned stop closed connections on which the body of a request was still arriving.
func TestDrainCutsBodyThatIsStillArriving(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
	}{
		{"buffered", 10},
		{"streamed", maxBufferedBody + 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
				n := int64(len(r.Body))
				if r.Stream != nil {
					m, err := io.Copy(io.Discard, r.Stream)
					if err != nil {
						return &Answer{Abort: true}
					}
					n += m
				}
				return textAnswer(fmt.Sprint(n))
			})
			conn, idle := dial(), dial()
			_, err := fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", c.size, strings.Repeat("a", c.size-5))
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			done := make(chan struct{})
			go func() { s.Drain(5*time.Second, 0); close(done) }()
			_, err = idle.Read(make([]byte, 1))
			require.Error(t, err)
			_, err = io.WriteString(conn, "bbbbbGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			require.Equal(t, []string{fmt.Sprintf("200 %d", c.size)}, readAnswers(t, conn, 1))
			select {
			case <-done:
			case <-time.After(time.Second):
				t.Fatal("Drain did not return within 1 s after the last answer")
			}
		})
	}
}

// pipeListener accepts the connections of a channel.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return nil }

// The timeout for reading a streamed body canceled the request that ran on after its end.
func TestRequestIsCanceledWhenTimeoutOfItsBodyHasPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := make(pipeListener)
		s := New(ln, func(ctx context.Context, r *Request) *Answer {
			_, err := io.Copy(io.Discard, r.Stream)
			if err != nil {
				return &Answer{Abort: true}
			}
			select {
			case <-ctx.Done():
				return &Answer{Abort: true}
			case <-time.After(2 * transferTimeout):
				return textAnswer("whole")
			}
		}, func(*Request) bool { return false }, testLimits)
		go s.Run(context.Background())
		client, server := net.Pipe()
		ln <- server
		_, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedBody, strings.Repeat("a", 2*maxBufferedBody))
		require.NoError(t, err)
		answer := make([]byte, 1<<10)
		n, err := client.Read(answer)
		require.NoError(t, err)
		require.Contains(t, string(answer[:n]), "whole")
		require.NoError(t, client.Close())
		close(ln)
		s.Close()
	})
}

// lateEnd yields a body whose end comes some time after its last byte.
type lateEnd struct {
	io.Reader
	delay time.Duration
}

func (r *lateEnd) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		time.Sleep(r.delay)
	}
	return n, err
}

// The end of an answer was written with the deadline of its last byte.
func TestAnswerWhoseEndComesLateIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := make(pipeListener)
		s := New(ln, func(context.Context, *Request) *Answer {
			body := &lateEnd{strings.NewReader("whole"), 2 * transferTimeout}
			return &Answer{Status: http.StatusOK, Header: http.Header{}, Stream: io.NopCloser(body), Length: -1}
		}, func(*Request) bool { return false }, testLimits)
		go s.Run(context.Background())
		client, server := net.Pipe()
		ln <- server
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // Fails like the read.
		require.NoError(t, client.Close())
		close(ln)
		s.Close()
		require.NoError(t, readErr)
		require.Equal(t, "whole", string(body))
	})
}

// Guards against a body whose rest was discarded after the answer, which ended as if it were whole
// for what still read it.
func TestBodyThatWasNotReadWholeEndsAsComplete(t *testing.T) {
	const size = 8 * maxBufferedBody
	answered := make(chan struct{})
	read := make(chan error, 1)
	_, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
		go func() {
			<-answered
			_, err := io.Copy(io.Discard, r.Stream)
			read <- err
		}()
		return textAnswer("early")
	})
	conn := dial()
	_, err := fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	require.NoError(t, err)
	go func() { _, _ = conn.Write(make([]byte, size)) }() // The server may close the connection before the end.
	require.Equal(t, []string{"200 early"}, readAnswers(t, conn, 1))
	time.Sleep(100 * time.Millisecond) // The rest is discarded.
	close(answered)
	require.Error(t, <-read)
}
