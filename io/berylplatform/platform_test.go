package berylplatform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylinstance"
	"berylspan/io/berylplatform"

	"github.com/stretchr/testify/require"
)

// One odd entry among the instances made the whole list unreadable, and daemons no longer
// followed it.
func TestOddInstanceHidesAllOthers(t *testing.T) {
	const entry = `{"id":%s,"service":%s,"zone":%s,"peer":%s,"leaving":%s}`
	long := `"` + strings.Repeat("x", 300) + `"`
	for _, tc := range []struct{ name, odd string }{
		{"number", `5`},
		{"null", `null`},
		{"list", `[]`},
		{"empty object", `{}`},
		{"very deeply nested", strings.Repeat("[", 5_000) + strings.Repeat("]", 5_000)},
		{"id is a number", fmt.Sprintf(entry, `7`, `"s"`, `"z"`, `"10.0.0.9:1"`, `false`)},
		{"id is empty", fmt.Sprintf(entry, `""`, `"s"`, `"z"`, `"10.0.0.9:1"`, `false`)},
		{"id is long", fmt.Sprintf(entry, long, `"s"`, `"z"`, `"10.0.0.9:1"`, `false`)},
		{"service is null", fmt.Sprintf(entry, `"odd"`, `null`, `"z"`, `"10.0.0.9:1"`, `false`)},
		{"service is long", fmt.Sprintf(entry, `"odd"`, long, `"z"`, `"10.0.0.9:1"`, `false`)},
		{"zone is an object", fmt.Sprintf(entry, `"odd"`, `"s"`, `{}`, `"10.0.0.9:1"`, `false`)},
		{"leaving is a string", fmt.Sprintf(entry, `"odd"`, `"s"`, `"z"`, `"10.0.0.9:1"`, `"no"`)},
		{"port is too large", fmt.Sprintf(entry, `"odd"`, `"s"`, `"z"`, `"10.0.0.9:65536"`, `false`)},
		{"port is 0", fmt.Sprintf(entry, `"odd"`, `"s"`, `"z"`, `"10.0.0.9:0"`, `false`)},
		{"port is missing", fmt.Sprintf(entry, `"odd"`, `"s"`, `"z"`, `"10.0.0.9"`, `false`)},
		{"host is missing", fmt.Sprintf(entry, `"odd"`, `"s"`, `"z"`, `":80"`, `false`)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				good := `{"id":"%s","service":"s","zone":"z","peer":"host.example:8081","leaving":false}`
				_, _ = fmt.Fprintf(w, `{"revision":3,"instances":[%s,%s,%s]}`, fmt.Sprintf(good, "a"), tc.odd, fmt.Sprintf(good, "b"))
			}))
			t.Cleanup(srv.Close)
			revision, list, err := berylplatform.HTTP(srv.URL, srv.Client()).Instances(context.Background(), 1, time.Second)
			require.NoError(t, err)
			require.Equal(t, int64(3), revision)
			require.Equal(t, []berylinstance.Instance{
				{ID: "a", Service: "s", Zone: "z", PeerAddr: "host.example:8081"},
				{ID: "b", Service: "s", Zone: "z", PeerAddr: "host.example:8081"},
			}, list)
		})
	}
}
