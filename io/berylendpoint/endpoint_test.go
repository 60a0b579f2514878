package berylendpoint

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"berylspan/core/berylexchange"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylroute"

	"github.com/stretchr/testify/require"
)

// Compressing the answers of 64 KB messages took more than 1 MB for each gzip writer,
// which grew the daemon by up to 8 MB during one stream.
func TestAnswersAreNotCompressedForCallersThatAcceptIt(t *testing.T) {
	message := bytes.Repeat([]byte("a"), 64<<10)
	for _, tc := range []struct {
		name        string
		contentType string
		body        []byte
		streaming   bool
	}{
		{"unary", "application/json", []byte(`{}`), false},
		{"stream", "application/connect+json", []byte("\x00\x00\x00\x00\x02{}"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route := &berylroute.Route{Path: "/p.S/Get", Idempotent: true, Streaming: tc.streaming}
			e := New(func(string) *berylroute.Route { return route }, func(_ context.Context, _ http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
				if x.Sink == nil {
					return &beryloutcome.Outcome{Body: message}
				}
				require.NoError(t, x.Sink(http.Header{}, message))
				return &beryloutcome.Outcome{}
			})
			r := httptest.NewRequest(http.MethodPost, "/p.S/Get", bytes.NewReader(tc.body))
			r.Header.Set("Content-Type", tc.contentType)
			r.Header.Set("Accept-Encoding", "gzip")
			r.Header.Set("Connect-Accept-Encoding", "gzip")
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			require.Equal(t, http.StatusOK, w.Code)
			require.Contains(t, w.Body.String(), string(message))
		})
	}
}
