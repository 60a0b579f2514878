package berylproxy

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/beryldestination"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylregions"
	"berylspan/core/berylregistration"
	"berylspan/core/berylrule"
	"berylspan/core/berylshedding"
	"berylspan/io/berylgossip"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylstorecache"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// newSheddingProxy returns a proxy of a fleet with four servers of service s, each of which
// sheds the given share of its arrivals. answer answers each attempt.
func newSheddingProxy(shedding uint8, answer func(serverID string) *berylreply.Reply) *Proxy {
	rule := berylrule.Rule{
		Name: "pay", Host: "h", PathPrefix: "/", Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 2, AuthExempt: true,
		Destinations: []beryldestination.Destination{{Service: "s", Weight: 1}},
	}
	state := &berylstorecache.State{Config: berylhttpconfig.New(1, []berylrule.Rule{rule}, nil)}
	state.ServersByService = map[string][]berylregistration.Registration{}
	var peers []berylgossip.Peer
	for i := range 4 {
		host := "127.9.0." + strconv.Itoa(i+1)
		state.ServersByService["s"] = append(state.ServersByService["s"], berylregistration.Registration{ID: "i-" + strconv.Itoa(i), Service: "s", Addr: host + ":1", Slots: 9, Born: 1})
		peers = append(peers, berylgossip.Peer{Host: host, LastSeen: time.Now(), Heartbeat: berylgossip.Heartbeat{Shedding: shedding}})
	}
	p := New(&Proxy{
		Regions: func() *berylregions.Regions { return berylregions.New("z", nil) },
		Names:   berylheadernames.Default(), Host: "127.9.0.9", Port: "2", Log: zerolog.Nop(),
		Service: func() string { return "front" }, State: func() *berylstorecache.State { return state }, StateAge: func() time.Duration { return 0 },
		SendRemote: func(_ context.Context, _ string, r *berylrequest.Request) *berylreply.Reply {
			return answer(r.ServerID)
		},
		Observe: func(string, string, int, string, time.Duration) {},

		CheckSuspect: func(*berylrequest.Request) (bool, time.Duration) { return false, 0 },
	})
	p.UpdatePeers(peers)
	for range 1000 {
		p.recordForBudget("s")
	}
	return p
}

func serve(p *Proxy) *berylhttpserver.Answer {
	return p.Serve(context.Background(), newRequest(p))
}

func newRequest(p *Proxy) *berylhttpserver.Request {
	return &berylhttpserver.Request{
		Method: http.MethodPost, URI: "/x", Path: "/x", Host: "h", Header: http.Header{p.Names.RequestID: []string{"r-1"}},
		ReceivedAt: time.Now(), CallerGone: func() bool { return false },
	}
}

func rejected() *berylreply.Reply {
	return berylreply.NewFailure(berylattempt.Rejected, berylreply.ReasonRejected)
}

func TestRequestGoesAgainToServersThatRejectedItWhileAllShed(t *testing.T) {
	sent := []string{}
	p := newSheddingProxy(55, func(id string) *berylreply.Reply {
		if sent = append(sent, id); len(sent) < 5 {
			return rejected()
		}
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: http.StatusOK, Header: http.Header{}}
	})
	require.Equal(t, http.StatusOK, serve(p).Status)
	require.Len(t, sent, 5)
	servers := map[string]bool{}
	for _, id := range sent {
		servers[id] = true
	}
	require.Len(t, servers, 2, "the rule allows two servers")
}

func TestRequestIsRefusedAsNotRunAfterManyRejections(t *testing.T) {
	sent := 0
	p := newSheddingProxy(100, func(string) *berylreply.Reply { sent++; return rejected() })
	require.Equal(t, http.StatusServiceUnavailable, serve(p).Status)
	require.Equal(t, maxRejections, sent)
}

func TestRejectedRequestIsSentToAsManyServersAsTheRuleAllowsWhileNoServiceSheds(t *testing.T) {
	sent := 0
	p := newSheddingProxy(0, func(string) *berylreply.Reply { sent++; return rejected() })
	require.Equal(t, http.StatusServiceUnavailable, serve(p).Status)
	require.Equal(t, 2, sent)
}

func TestRequestRefusedForItsChainIsNotOfferedToOtherInstances(t *testing.T) {
	sent := 0
	p := newSheddingProxy(0, func(string) *berylreply.Reply {
		sent++
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonShedding)
	})
	a := serve(p)
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.Equal(t, 1, sent)
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 0.33, seconds, 0.02, "a third of the time left")
}

func TestServiceShedsIfItsServersDoOnAverage(t *testing.T) {
	p := newSheddingProxy(40, func(string) *berylreply.Reply { return rejected() })
	service, share := p.Shedding()
	require.Equal(t, "s", service)
	require.InDelta(t, 0.4, share, 1e-9)
	p = newSheddingProxy(10, func(string) *berylreply.Reply { return rejected() })
	service, share = p.Shedding()
	require.Empty(t, service)
	require.Zero(t, share)
}

// A server whose requests fail at once, since the instance beside it has no retries, looks idle.
func TestServerWhoseRequestsFailGetsFewWhileAServiceSheds(t *testing.T) {
	sent := map[string]int{}
	p := newSheddingProxy(0, func(id string) *berylreply.Reply {
		sent[id]++
		status := http.StatusOK
		if id == "i-0" {
			status = http.StatusInternalServerError
		}
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: status, Header: http.Header{}}
	})
	p.shedding, p.failures = map[string]float64{"below": 0.5}, map[string]*berylshedding.Meter{}
	for range 400 {
		serve(p)
	}
	require.Less(t, sent["i-0"], 20)
}
