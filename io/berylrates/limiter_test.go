package berylrates

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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

// owner answers requests for tokens with as many as grant returns. No answer arrives while
// silent returns true.
type owner struct {
	silent func() bool
	grant  func(want float64) float64
}

func (o owner) Do(req *http.Request) (*http.Response, error) {
	if o.silent() {
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
	want := 0.0
	for _, n := range ask.Asks[0].Want {
		want += n
	}
	reply, err := proto.Marshal(&berylwire.GrantReply{Owner: true, Batches: []*berylwire.Batch{{Id: ask.Asks[0].Id, N: o.grant(want), Life: int64(time.Second)}}})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(reply))}, nil
}

func testWorkspace() *berylworkspace.Workspace {
	return &berylworkspace.Workspace{Name: "w", Plan: &berylplan.Plan{Rate: 100, Burst: 50}}
}

// newTestLimiter returns a running limiter whose requests for tokens go to o.
func newTestLimiter(t *testing.T, o owner) *Limiter {
	cfg := &berylconfig.Config{Zones: []berylzone.Zone{{Name: "a", Weight: 1}}}
	snapshot := berylsnapshot.New(cfg, []berylinstance.Instance{{ID: "s-1", Zone: "a", PeerAddr: "127.0.0.1:1"}})
	l := New("s-0", "a", func() *berylsnapshot.Snapshot { return snapshot }, berylcontrolclients.New(o, "http", "secret"))
	t.Cleanup(l.Close)
	go l.Run(t.Context())
	return l
}

// Beside other load the connections to the owner of a shard took longer to replace than a
// call waited for a token, and calls of a workspace within its rate were refused.
func TestCallWaitsForTokenWhileOwnerIsSilent(t *testing.T) {
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
			start := time.Now()
			l := newTestLimiter(t, owner{
				silent: func() bool { return time.Since(start) < tc.silent },
				grant:  func(float64) float64 { return tc.tokens },
			})
			start = time.Now()
			_, refusal := l.Take(t.Context(), testWorkspace(), berylclass.Standard)
			require.Equal(t, tc.admitted, refusal == nil)
			require.Less(t, time.Since(start), tc.maxWait)
		})
	}
}

// Calls of a workspace within its rate were refused after 200 ms because the owner had
// answered a request sent before they arrived, although it granted all that was asked.
func TestCallsWaitForTokenAfterOwnerGrantedAllThatWasAsked(t *testing.T) {
	const silentUntil = 400 * time.Millisecond
	start := time.Now()
	var requests atomic.Int64
	l := newTestLimiter(t, owner{
		silent: func() bool { return requests.Add(1) > 1 && time.Since(start) < silentUntil },
		grant: func(want float64) float64 {
			time.Sleep(20 * time.Millisecond) // The other calls arrive meanwhile.
			return want
		},
	})
	start = time.Now()
	var calls sync.WaitGroup
	var refused atomic.Int64
	for range 10 {
		calls.Go(func() {
			if _, refusal := l.Take(t.Context(), testWorkspace(), berylclass.Standard); refusal != nil {
				refused.Add(1)
			}
		})
	}
	calls.Wait()
	require.Zero(t, refused.Load())
	require.GreaterOrEqual(t, time.Since(start), maxTokenWait, "some calls wait until the owner answers again")
}
