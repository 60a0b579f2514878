package berylconnpool

import (
	"net/http"
	"testing"

	"berylspan/core/berylattempt"

	"github.com/stretchr/testify/require"
)

func TestDiscardedResponsesAreReported(t *testing.T) {
	for _, tc := range []struct {
		name, copied string
		want         Discarded
	}{
		{"copy of a refusal", errorAnswer(503, "1", notRun), Discarded{RequestID: "2", ResponseID: "1", Status: 503, Rejection: true}},
		{"copy of a refusal without its id", errorAnswer(503, "", notRun), Discarded{RequestID: "2", Status: 503, Rejection: true}},
		{"answer to another request", okAnswer("0", "x"), Discarded{RequestID: "2", ResponseID: "0", Status: 200}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, _ := startServer(t, func(r *http.Request, n int) (string, bool) {
				if n == 0 {
					return errorAnswer(503, "1", notRun), true
				}
				return tc.copied + okAnswer(r.Header.Get("Beryl-Call"), "own"), true
			})
			var got []Discarded
			OnDiscarded(func(d Discarded) { got = append(got, d) })(p)
			require.Equal(t, berylattempt.Rejected, send(p, "1", true).Outcome)
			require.Equal(t, berylattempt.Answered, send(p, "2", true).Outcome)
			require.Equal(t, []Discarded{tc.want}, got)
		})
	}
}

func TestResponseWithImpossibleStatusIsReported(t *testing.T) {
	p, _ := startServer(t, func(*http.Request, int) (string, bool) {
		return "HTTP/1.1 000 X\r\nBeryl-Call: 1\r\n" + notRun + "\r\n", true
	})
	var got []Discarded
	OnDiscarded(func(d Discarded) { got = append(got, d) })(p)
	require.Equal(t, berylattempt.Unknown, send(p, "1", true).Outcome)
	require.Equal(t, []Discarded{{RequestID: "1", ResponseID: "1", Rejection: true}}, got)
}
