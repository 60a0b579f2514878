package berylrates

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/berylconfig"
	"berylspan/core/berylinstance"
	"berylspan/core/berylplan"
	"berylspan/core/berylsnapshot"
	"berylspan/core/berylworkspace"
	"berylspan/core/berylzone"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/berylwire"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// owner answers requests for tokens with the given number of tokens after a time in which
// no answer arrives.
type owner struct {
	silentUntil time.Time
	tokens      float64
}

func (o owner) Do(req *http.Request) (*http.Response, error) {
	if time.Now().Before(o.silentUntil) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	ask := &berylwire.GrantRequest{}
	if err := proto.Unmarshal(body, ask); err != nil {
		return nil, err
	}
	reply, err := proto.Marshal(&berylwire.GrantReply{Owner: true, Batches: []*berylwire.Batch{{Id: ask.Asks[0].Id, N: o.tokens, Life: int64(time.Second)}}})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(reply))}, nil
}

// Beside other load the connections to the owner of a shard took longer to replace than a
// call waited for a token, and calls of a workspace within its rate were refused.
func TestCallWaitsForTokenWhileOwnerIsSilent(t *testing.T) {
	w := &berylworkspace.Workspace{Name: "w", Plan: &berylplan.Plan{Rate: 100, Burst: 50}}
	cfg := &berylconfig.Config{Zones: []berylzone.Zone{{Name: "a", Weight: 1}}}
	snapshot := berylsnapshot.New(cfg, []berylinstance.Instance{{ID: "s-1", Zone: "a", PeerAddr: "127.0.0.1:1"}})
	for _, tc := range []struct {
		name     string
		silent   time.Duration
		tokens   float64
		admitted bool
		maxWait  time.Duration
	}{
		{"owner answers", 0, 10, true, maxTokenWait},
		{"owner answers after 400 ms", 400 * time.Millisecond, 10, true, maxOwnerWait},
		{"owner has no tokens", 0, 0, false, maxTokenWait + 100*time.Millisecond},
		{"owner never answers", time.Minute, 10, false, maxOwnerWait + 200*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New("s-0", "a", func() *berylsnapshot.Snapshot { return snapshot }, berylcontrolclients.New(owner{time.Now().Add(tc.silent), tc.tokens}, "http", "secret"))
			t.Cleanup(l.Close)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go l.Run(ctx)
			start := time.Now()
			_, refusal := l.Take(ctx, w, berylclass.Standard)
			require.Equal(t, tc.admitted, refusal == nil)
			require.Less(t, time.Since(start), tc.maxWait)
		})
	}
}
