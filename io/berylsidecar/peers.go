package berylsidecar

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"berylspan/core/berylfullmesh"
	"berylspan/core/berylregistration"
	"berylspan/io/berylgossip"
	"berylspan/io/berylproxy"
	"berylspan/io/berylstorecache"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	beatEvery   = 400 * time.Millisecond // between two words; three that do not come mean silence
	forgetAfter = 10 * time.Second       // an unlisted instance that fell silent is told nothing more
	zoneApart   = 2                      // places that the instances of a data centre come after those of the one before
	statePath   = "/state"
	mostState   = 8 << 20 // bytes
)

func port(s string) uint16 {
	n, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return 0 // The listener on it has failed before.
	}
	return uint16(n)
}

// beat tells others of this instance and looks at what they told.
func (s *Sidecar) beat(ctx context.Context) {
	s.say(true)
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.guard.Run("heartbeat", func() {
				s.look()
				s.updateShedding()
				s.mesh.EvictIdle()
				s.runner.EvictIdle()
				s.say(false)
				s.crashes.Share()
			})
		}
	}
}

// changed tells others at once that something new is known here. In a large fleet
// whoever told the own data centre has told all of it.
func (s *Sidecar) changed(from string) {
	if s.proxy.FleetSize() <= berylfullmesh.MaxSize || !s.near(from) {
		s.say(false)
	}
	s.runner.ListChanged()
	s.look()
}

// near tells whether an address is that of an instance of the own data centre.
func (s *Sidecar) near(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false // No instance: the store.
	}
	zone := s.set.Load().Zone
	return slices.ContainsFunc(s.gossip.Peers(), func(p berylgossip.Peer) bool { return p.Host == host && p.Heartbeat.Zone == zone })
}

// look passes on what was heard of other instances.
func (s *Sidecar) look() {
	peers := s.gossip.Peers()
	s.proxy.UpdatePeers(peers)
	s.tickQuotas(peers)
	s.runner.UpdateCold()
}

// say sends a word: to every known instance in a small fleet or when all is set,
// else to those of the own data centre and one of each other, in turn.
func (s *Sidecar) say(all bool) {
	set := s.set.Load()
	st := s.cache.State()
	w := berylgossip.Heartbeat{
		Epoch: s.start, Zone: set.Zone, Era: st.Era, ChangeRevision: st.ChangeRevision, Revision: st.Revision,
		AgeMs: s.cache.Age().Milliseconds(), Leaving: s.leaving.Load(), Demand: s.demand(),
	}
	if st.Config != nil {
		w.ConfigVersion = st.Config.Version
	} else {
		w.AgeMs = 0
	}
	if own, ok := s.own(); ok {
		w.ServerID = own.ID
	}
	w.Busy, w.Limit = s.runner.Load()
	w.Shedding = s.shedding()
	near, far, large := s.hosts(all, int(s.turn.Add(1)))
	w.Slowdown = int(math.Round(s.runner.Slowdown() * 100))
	err := s.gossip.SendHeartbeat(near, w)
	w.Slowdown = 0
	if !large && err == nil {
		err = s.gossip.SendHeartbeat(far, w)
	}
	if large && err == nil {
		err = s.sayFar(far, w)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("word not sent")
	}
}

// sayFar sends a word to instances of other data centres of a large fleet. What
// the own data centre is asked for matters only to those that may lend there.
func (s *Sidecar) sayFar(hosts []string, w berylgossip.Heartbeat) error {
	f := s.far(s.gossip.Peers())
	sums := s.sums()
	for _, host := range hosts {
		w.Demand, w.ZoneDemand = nil, map[string]uint32{}
		for workspace, n := range sums {
			if f.mayLend(host, workspace) {
				w.ZoneDemand[workspace] = n
			}
		}
		if err := s.gossip.SendHeartbeat([]string{host}, w); err != nil {
			return err
		}
	}
	return nil
}

// hosts returns the instances to tell in a turn, those of the own data centre and others.
func (s *Sidecar) hosts(all bool, turn int) (near, far []string, large bool) {
	set := s.set.Load()
	zones := map[string][]string{}
	seen := map[string]bool{set.Host: true}
	add := func(host, zone string) {
		if !seen[host] {
			seen[host] = true
			zones[zone] = append(zones[zone], host)
		}
	}
	for _, l := range s.cache.State().ServersByAddr {
		add(l.Host(), l.Zone)
	}
	for _, p := range s.gossip.Peers() {
		if time.Since(p.LastSeen) < forgetAfter {
			add(p.Host, p.Heartbeat.Zone)
		}
	}
	place := placeOf(set.Host, zones[set.Zone])
	large = len(seen) > berylfullmesh.MaxSize
	for zone, hosts := range zones {
		switch {
		case zone == set.Zone:
			near = hosts
		case all || berylfullmesh.TellsAll(s.proxy.FleetSize()):
			far = append(far, hosts...)
		default:
			far = append(far, inTurn(hosts, place, turn))
		}
	}
	return near, far, large
}

// placeOf returns the place of an instance among those of its data centre.
func placeOf(host string, others []string) int {
	n := 0
	for _, h := range others {
		if h < host {
			n++
		}
	}
	return n
}

// inTurn returns whom of another data centre an instance tells in a turn. Those
// that started together tell different ones.
func inTurn(hosts []string, place, turn int) string {
	slices.Sort(hosts)
	return hosts[(place+turn)%len(hosts)]
}

// place returns this instance's place among those alive, in an order that all
// agree on. In a large fleet the instances of one data centre come before those
// of the next.
func (s *Sidecar) place() int {
	if s.leaving.Load() {
		return berylfullmesh.MaxSize
	}
	set := s.set.Load()
	large := s.proxy.FleetSize() > berylfullmesh.MaxSize
	own := xxhash.Sum64String(set.Host)
	before := map[string]bool{}
	n := 0
	for _, p := range s.gossip.Peers() {
		if time.Since(p.LastSeen) > berylproxy.PeerTimeout || p.Heartbeat.Leaving {
			continue
		}
		if large && p.Heartbeat.Zone != set.Zone {
			before[p.Heartbeat.Zone] = before[p.Heartbeat.Zone] || p.Heartbeat.Zone < set.Zone
			continue
		}
		if xxhash.Sum64String(p.Host) < own {
			n++
		}
	}
	for _, first := range before {
		if first {
			n += zoneApart
		}
	}
	return n
}

// startupPeerCount is the number of instances that a started one asks for what they know.
const startupPeerCount = 2

// startupPeers returns the addresses of random other instances.
func (s *Sidecar) startupPeers(servers []berylregistration.Registration) []string {
	set := s.set.Load()
	var addrs []string
	for _, i := range rand.Perm(len(servers)) {
		if host := servers[i].Host(); host != set.Host && len(addrs) < startupPeerCount {
			addrs = append(addrs, net.JoinHostPort(host, set.Port))
		}
	}
	return addrs
}

// hear returns what is done with a word.
func (s *Sidecar) hear(ctx context.Context) func(host string, w berylgossip.Heartbeat) {
	return func(host string, w berylgossip.Heartbeat) {
		s.hearShedding(host, w)
		if w.ConfigVersion == 0 {
			return
		}
		s.cache.HandlePeerState(ctx, net.JoinHostPort(host, s.set.Load().Port), berylstorecache.PeerState{
			ConfigVersion: w.ConfigVersion, Era: w.Era, ChangeRevision: w.ChangeRevision, Revision: w.Revision, Age: time.Duration(w.AgeMs) * time.Millisecond,
		})
	}
}

// serveState passes on what is known here.
func (s *Sidecar) serveState(w http.ResponseWriter, r *http.Request) {
	k, err := known(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(s.cache.Snapshot(k))
	if err != nil {
		s.log.Error().Err(err).Msg("state not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // The asker asks again.
}

// known reads what an asker has. One that does not tell the change of its list is
// given the whole.
func known(q url.Values) (k berylstorecache.KnownVersions, err error) {
	if k.ConfigVersion, err = strconv.ParseInt(q.Get("version"), 10, 64); err != nil {
		return k, eris.New("version must be a number")
	}
	if !q.Has("change") {
		return k, nil
	}
	if k.ChangeRevision, err = strconv.ParseInt(q.Get("change"), 10, 64); err != nil {
		return k, eris.New("change must be a number")
	}
	if k.Digest, err = strconv.ParseUint(q.Get("digest"), 16, 64); err != nil {
		return k, eris.New("digest must be a hexadecimal number")
	}
	return k, nil
}

// pull fetches what the instance at addr knows that this one does not.
func (s *Sidecar) pull(ctx context.Context, addr string, k berylstorecache.KnownVersions) (*berylstorecache.Snapshot, error) {
	q := url.Values{
		"version": {strconv.FormatInt(k.ConfigVersion, 10)},
		"change":  {strconv.FormatInt(k.ChangeRevision, 10)},
		"digest":  {strconv.FormatUint(k.Digest, 16)},
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+statePath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "pull")
	}
	resp, err := s.stateClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "pull")
	}
	defer func() { _ = resp.Body.Close() }() // Only read from.
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("state of the instance at %s: status %s", addr, resp.Status)
	}
	var snap berylstorecache.Snapshot
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, mostState)).Decode(&snap); err != nil {
		return nil, eris.Wrap(err, "pull")
	}
	return &snap, nil
}
