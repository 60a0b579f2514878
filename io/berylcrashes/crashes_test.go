package berylcrashes_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"berylspan/core/beryllifetime"
	"berylspan/io/berylcrashes"
	"berylspan/io/berylrequest"
	"berylspan/io/berylserverend"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// member is an instance of a fleet in which messages get lost.
type member struct {
	*berylcrashes.Crashes
	zone int
}

const (
	zones        = 3
	lossPercent  = 20
	heartbeats   = 7   // within the three seconds after which all must know
	serverIsBusy = 100 // requests
)

// newFleet returns n instances. To all reaches every other one, otherwise those of the own data
// centre and one of each other are told.
func newFleet(t *testing.T, n int, rnd *rand.Rand) []*member {
	t.Helper()
	fleet := make([]*member, n)
	for i := range fleet {
		fleet[i] = &member{zone: i % zones}
		fleet[i].Crashes = berylcrashes.New(zerolog.New(io.Discard), func(all bool, message []byte) {
			far := rnd.IntN(n)
			for j, to := range fleet {
				told := all || to.zone == fleet[i].zone || j == far
				if to != nil && j != i && told && rnd.IntN(100) >= lossPercent {
					require.NoError(t, to.Handle(message))
				}
			}
		})
	}
	return fleet
}

func request(path string) *berylrequest.Request {
	return &berylrequest.Request{ID: "1", Method: "GET", Host: "h", URI: path, Workspace: "w"}
}

// Three servers in different data centres of a large fleet end under many requests, one of which
// is the same. All instances must know in time, also one that starts later.
func TestInstancesOfALargeFleetKnowASuspect(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			fleet := newFleet(t, 60, rnd)
			killer := request("/kill")
			for server := range 3 {
				end := berylserverend.ServerEnd{Lifetime: beryllifetime.Lifetime{ID: fmt.Sprint("i-", server), BornMs: 5}}
				end.Requests = append(end.Requests, berylserverend.Request{ID: "k", Fingerprint: killer.Fingerprint()})
				for i := range serverIsBusy {
					end.Requests = append(end.Requests, berylserverend.Request{ID: "x", Fingerprint: request(fmt.Sprint("/", server, "/", i)).Fingerprint()})
				}
				fleet[server].ServerEnded(end)
			}
			share := func() {
				for range heartbeats {
					for _, m := range fleet {
						m.Share()
					}
				}
			}
			share()
			for i, m := range fleet {
				suspect, _ := m.Check(killer)
				require.True(t, suspect, "instance %d", i)
				require.Equal(t, 1, m.Suspects())
				suspect, _ = m.Check(request("/1/1"))
				require.False(t, suspect)
			}
			fleet[7].Crashes = newFleet(t, 60, rnd)[7].Crashes
			share()
			suspect, _ := fleet[7].Check(killer)
			require.True(t, suspect, "started later")

			fleet[40].Answered(killer)
			share()
			for i, m := range fleet {
				require.Zero(t, m.Suspects(), "instance %d", i)
			}
		})
	}
}

func TestMalformedMessageIsRefused(t *testing.T) {
	c := berylcrashes.New(zerolog.New(io.Discard), func(bool, []byte) {})
	for _, message := range []string{"", "x", "\x81\x01", "\x81\x85\x01\x02"} {
		require.Error(t, c.Handle([]byte(message)))
	}
	require.Zero(t, c.Suspects())
}

func BenchmarkCheckWhileNothingIsKnown(b *testing.B) {
	c := berylcrashes.New(zerolog.New(io.Discard), func(bool, []byte) {})
	r := request("/some/path/of/usual/length")
	for b.Loop() {
		c.Check(r)
	}
}

func BenchmarkCheckWhileSuspectsAreKnown(b *testing.B) {
	c := berylcrashes.New(zerolog.New(io.Discard), func(bool, []byte) {})
	c.ServerEnded(berylserverend.ServerEnd{Requests: []berylserverend.Request{{Fingerprint: 1}}})
	r := request("/some/path/of/usual/length")
	for b.Loop() {
		c.Check(r)
	}
}

// The fingerprint must tell requests apart, and be the same at every instance.
func TestFingerprint(t *testing.T) {
	base := func() *berylrequest.Request {
		return &berylrequest.Request{ID: "1", Method: "POST", Host: "h", URI: "/a?b", Workspace: "w", Body: []byte("body"), Length: 4}
	}
	for _, tc := range []struct {
		name   string
		change func(r *berylrequest.Request)
		same   bool
	}{
		{"another attempt at another instance", func(r *berylrequest.Request) { r.ID, r.Caller, r.ServerID, r.Trial = "2", "c", "i", true }, true},
		{"another method", func(r *berylrequest.Request) { r.Method = "PUT" }, false},
		{"another host", func(r *berylrequest.Request) { r.Host = "g" }, false},
		{"another path", func(r *berylrequest.Request) { r.URI = "/c?b" }, false},
		{"another query", func(r *berylrequest.Request) { r.URI = "/a?c" }, false},
		{"another workspace", func(r *berylrequest.Request) { r.Workspace = "v" }, false},
		{"another body of the same length", func(r *berylrequest.Request) { r.Body = []byte("bode") }, false},
		{"a part that moves to the next field", func(r *berylrequest.Request) { r.Host, r.URI = "h/", "a?b" }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := base()
			tc.change(r)
			require.Equal(t, tc.same, r.Fingerprint() == base().Fingerprint())
		})
	}
}
