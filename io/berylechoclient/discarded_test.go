package berylechoclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"berylspan/io/berylechoclient"
	"berylspan/io/berylheader"
	"berylspan/io/beryltransport"

	"github.com/stretchr/testify/require"
)

func TestDiscardedAnswersAreReported(t *testing.T) {
	for _, tc := range []struct {
		name  string
		third string // answer to the third request
		want  []string
	}{
		{"own id", response("3", http.StatusOK, "", "{}"), nil},
		{"id of an earlier request", response("2", http.StatusServiceUnavailable, "", "{}"), []string{"3 answered by 2, 503"}},
		{"no id", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", []string{"3 answered by , 503"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, _ := startAnswering(t, func() answerer {
				return func(id, _ string) string {
					if id == "3" {
						return tc.third
					}
					return response(id, http.StatusOK, "", "{}")
				}
			})
			var got []string
			c := berylechoclient.New(beryltransport.NetDial(), berylheader.Call, berylechoclient.OnDiscarded(func(id string, res *http.Response) {
				got = append(got, fmt.Sprintf("%s answered by %s, %d", id, res.Header.Get(berylheader.Call), res.StatusCode))
			}))
			t.Cleanup(c.CloseIdleConnections)
			for _, id := range []string{"1", "2", "3", "4"} {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", strings.NewReader("{}"))
				require.NoError(t, err)
				req.Header.Set(berylheader.Call, id)
				res, err := c.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
					require.NoError(t, err)
					require.NoError(t, res.Body.Close())
				}
				cancel()
			}
			require.Equal(t, tc.want, got)
		})
	}
}
