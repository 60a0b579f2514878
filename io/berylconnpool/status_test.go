package berylconnpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// statusTimeout is the time limit of requests whose answers have a status that no answer may
// have. They must end long before it.
const statusTimeout = 2 * time.Second

// upload returns a body in chunks. If it is not whole, its end never comes.
func upload(t *testing.T, whole bool) io.Reader {
	if whole {
		return strings.NewReader("more")
	}
	r, w := io.Pipe()
	t.Cleanup(func() { _ = w.Close() })
	return r
}

// requireMalformed requires that the request ends at once if the server answers it with raw and
// then keeps the connection open: it may have run, and its connection is closed.
func requireMalformed(t *testing.T, raw, kind string, reused bool) {
	t.Helper()
	closed := make(chan struct{})
	p := startRawServer(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.Header.Get("Beryl-Call") != "0" {
				break
			}
			_, _ = io.WriteString(c, okAnswer("0", "earlier")) // The test notices if it is missing.
		}
		_, _ = io.WriteString(c, raw) // As above.
		_, _ = io.Copy(io.Discard, c) // As above.
		close(closed)
	})
	if reused {
		require.Equal(t, berylattempt.Answered, send(p, "0", false).Outcome)
	}
	r := &Request{Method: kind, URI: "/", Host: "h", ID: "1", Header: http.Header{"Beryl-Call": {"1"}}, NonIdempotent: kind != http.MethodGet}
	if method, body, isUpload := strings.Cut(kind, " "); isUpload {
		r.Method, r.Body, r.Stream, r.Length = method, []byte("body"), upload(t, body == "whole"), -1
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	ended := false
	start := time.Now()
	reply := p.Send(ctx, r, func() { ended = true })
	reply.Close()
	took := time.Since(start)
	require.Equal(t, berylattempt.Unknown, reply.Outcome, "status %d after %v", reply.Status, took)
	require.Equal(t, berylreply.ReasonMalformed, reply.Reason, "after %v", took)
	require.NoError(t, ctx.Err(), "the request held its slot for %v", took)
	require.True(t, ended)
	select {
	case <-closed:
	case <-time.After(statusTimeout):
		require.Fail(t, "the connection was not closed")
	}
}

// requireAllMalformed tries each status line with each id, framing, request and state of the
// connection.
func requireAllMalformed(t *testing.T, statusLines []string, framings map[string]string) {
	headers := map[string]string{
		"own id": "Beryl-Call: 1\r\n", "own id and not run": "Beryl-Call: 1\r\n" + notRun, "id of another": "Beryl-Call: 7\r\n", "no id": "", "no id and not run": notRun,
	}
	for _, statusLine := range statusLines {
		for headerName, header := range headers {
			for framingName, framing := range framings {
				for _, kind := range []string{http.MethodGet, http.MethodHead, "POST whole", "POST unfinished"} {
					for _, reused := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s/%s/%s/%s/reused %v", statusLine, headerName, framingName, kind, reused), func(t *testing.T) {
							t.Parallel()
							raw := statusLine + "\r\n" + header + "Beryl-Receipt: x\r\n" + framing
							requireMalformed(t, raw, kind, reused)
						})
					}
				}
			}
		}
	}
}

func bodyFramings() map[string]string {
	return map[string]string{
		"length":    "Content-Length: 4\r\n\r\nbody",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no length": "\r\nbody",
	}
}

// A server answers with status 000, or another one below 200. The answer counted as an interim
// one, its body as the begin of the next one, and the request waited until its time limit.
func TestAnswerWithStatus000HoldsItsRequest(t *testing.T) {
	framings := bodyFramings()
	framings["length 0"] = "Content-Length: 0\r\n\r\n"
	framings["no body"] = "\r\n"
	requireAllMalformed(t, []string{"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 +99 X", "HTTP/1.1 101 Switching Protocols"}, framings)
}

// As above, with interim answers that have a body.
func TestInterimAnswerWithABodyHoldsItsRequest(t *testing.T) {
	requireAllMalformed(t, []string{"HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing", "HTTP/1.1 199 X"}, bodyFramings())
}

// A server answers with a status above 599, or with one that is no number of three digits.
func TestAnswerWithImpossibleStatusReachesTheCaller(t *testing.T) {
	requireAllMalformed(t, []string{"HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 -12 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 2OO OK", "HTTP/1.1 ", "HTTP/1.1"}, bodyFramings())
}

// Interim answers must not be taken for too many answers to other requests.
func TestInterimAnswersUseUpTheBoundForOtherAnswers(t *testing.T) {
	const early, processing = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"
	others := strings.Repeat(okAnswer("0", "late"), maxResponses-1)
	for _, tc := range []struct {
		name, raw string
		outcome   berylattempt.Outcome
	}{
		{"none", okAnswer("1", "own"), berylattempt.Answered},
		{"no reason phrase", strings.Replace(okAnswer("1", "own"), "200 OK", "200", 1), berylattempt.Answered},
		{"empty reason phrase", strings.Replace(okAnswer("1", "own"), "200 OK", "200 ", 1), berylattempt.Answered},
		{"one", "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer("1", "own"), berylattempt.Answered},
		{"length 0", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + okAnswer("1", "own"), berylattempt.Answered},
		{"several", strings.Repeat(early+processing, maxResponses) + okAnswer("1", "own"), berylattempt.Answered},
		{"several before answers to other requests", strings.Repeat(processing, maxResponses) + others + okAnswer("1", "own"), berylattempt.Answered},
		{"several behind answers to other requests", others + strings.Repeat(processing, maxResponses) + okAnswer("1", "own"), berylattempt.Answered},
		{"too many", strings.Repeat(processing, 100), berylattempt.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, _ := startServer(t, func(*http.Request, int) (string, bool) { return tc.raw, true })
			ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
			defer cancel()
			reply := p.Send(ctx, &Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
			require.NoError(t, ctx.Err())
			require.Equal(t, tc.outcome, reply.Outcome)
			if tc.outcome == berylattempt.Answered {
				require.Equal(t, "own", string(reply.Body))
			} else {
				require.Equal(t, berylreply.ReasonMalformed, reply.Reason)
			}
		})
	}
}
