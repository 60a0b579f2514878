package beryldeduplicator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylconfig"
	"berylspan/core/berylidempotency"
	"berylspan/core/berylinstance"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylroute"
	"berylspan/core/berylsnapshot"
	"berylspan/core/berylzone"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/berylwire"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// fleet is two daemons, "a" and "b", that are reached without a network. Daemon "a" owns all shards.
type fleet struct {
	records *berylidempotency.Records
	lost    int // claim replies of the owner that are still to be lost
	claims  int // claims that reached the owner
}

type daemon struct {
	berylwire.Control
	fleet *fleet
	owner bool
}

func (d *daemon) Claim(_ context.Context, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, error) {
	if !d.owner {
		return &berylwire.ClaimReply{Holder: "a"}, nil
	}
	d.fleet.claims++
	verdict, answer := d.fleet.records.Claim(time.Now(), req.Key, req.Idempotency, req.Call)
	if d.fleet.lost > 0 {
		d.fleet.lost--
		return nil, eris.New("the reply is lost")
	}
	return &berylwire.ClaimReply{Owner: true, Verdict: int32(verdict), Answer: answer}, nil
}

func (d *daemon) Settle(_ context.Context, req *berylwire.SettleRequest) (*berylwire.SettleReply, error) {
	if d.owner {
		d.fleet.records.Settle(req.Key, req.Call, req.Ran, req.Done, req.Answer)
	}
	return &berylwire.SettleReply{Owner: d.owner}, nil
}

// Do passes the request to the daemon that its URL names.
func (f *fleet) Do(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	berylwire.NewControlServer(&daemon{fleet: f, owner: req.URL.Host == "a"}).ServeHTTP(w, req)
	return w.Result(), nil
}

// run makes a call with the same idempotency key as all others through a daemon of its own.
func (f *fleet) run(p pass, send func() *beryloutcome.Outcome) *beryloutcome.Outcome {
	f.lost = p.lost
	s := berylsnapshot.New(&berylconfig.Config{Zones: []berylzone.Zone{{Name: "z"}}}, []berylinstance.Instance{
		{ID: "a", Zone: "z", PeerAddr: "a"},
		{ID: "b", Zone: "z", PeerAddr: "b"},
	})
	d := New(func() *berylsnapshot.Snapshot { return s }, berylcontrolclients.New(f, "http", "secret"))
	c := &berylcall.Call{ID: p.root, Workspace: "w", Route: &berylroute.Route{Path: "/p.S/Put"}, IdempotencyKey: "k"}
	return d.Run(context.Background(), c, send)
}

// pass is a call on its way through a daemon.
type pass struct {
	root string
	lost int // replies to its claims that are lost
	end  func() *beryloutcome.Outcome
	want string // "", or the run status that its refusal tells
}

const all = 100 // replies; more than there are

func answered() *beryloutcome.Outcome { return &beryloutcome.Outcome{Body: []byte("{}")} }

func lostAnswer() *beryloutcome.Outcome {
	return beryloutcome.Refuse(berylrefusal.NewMaybeRun(berylrefusal.Backend, connect.CodeUnavailable, "lost"), 0)
}

func rejected() *beryloutcome.Outcome {
	return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Backend, connect.CodeUnavailable, "no"), 0)
}

// Nested calls have the ID of their root, so a server that made one again under its idempotency key was
// taken for the pass that had claimed the key, and its call ran twice.
func TestNestedCallMadeAgainUnderItsKeyRunsTwice(t *testing.T) {
	scenarios := []struct {
		name   string
		during bool // the later passes come while the first one runs
		passes []pass
		runs   int
	}{
		{"while the first runs", true, []pass{{"1", 0, answered, ""}, {"1", 0, answered, berylrefusal.Unknown}}, 1},
		{"after the answer of the first was lost", false, []pass{{"1", 0, lostAnswer, berylrefusal.Unknown}, {"1", 0, answered, berylrefusal.Unknown}}, 1},
		{"a repeat that is turned away does not free the key of the first", true, []pass{{"1", 0, answered, ""}, {"1", 0, rejected, berylrefusal.Unknown}, {"2", 0, answered, berylrefusal.Unknown}}, 1},
		{"a repeat whose claim got no reply does not free the key of the first", true, []pass{{"1", 0, answered, ""}, {"1", all, answered, berylrefusal.NotRun}, {"2", 0, answered, berylrefusal.Unknown}}, 1},
		{"a completed call is answered from its record", false, []pass{{"1", 0, answered, ""}, {"1", 0, answered, ""}}, 1},
		{"a call that was turned away may run again", false, []pass{{"1", 0, rejected, berylrefusal.NotRun}, {"1", 0, answered, ""}}, 2},
		{"a claim whose reply was lost is repeated", false, []pass{{"1", 1, answered, ""}}, 1},
		{"a call whose claim got no reply may run again", false, []pass{{"1", all, answered, berylrefusal.NotRun}, {"1", 0, answered, ""}}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := &fleet{records: berylidempotency.New(time.Now().Add(-time.Hour))}
			runs := 0
			check := func(p pass, during func()) {
				out := f.run(p, func() *beryloutcome.Outcome {
					runs++
					during()
					return p.end()
				})
				status := ""
				if out.Refusal != nil {
					status = out.Refusal.RunStatus()
				}
				require.Equal(t, p.want, status, "call of root %s", p.root)
				require.GreaterOrEqual(t, f.claims, 1)
			}
			later := func() {
				for _, p := range s.passes[1:] {
					check(p, func() {})
				}
			}
			if s.during {
				check(s.passes[0], later)
			} else {
				check(s.passes[0], func() {})
				later()
			}
			require.Equal(t, s.runs, runs)
		})
	}
}
