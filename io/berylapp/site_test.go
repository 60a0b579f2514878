package berylapp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"berylspan/core/beryldigest"
	"berylspan/core/berylinstance"
	"berylspan/io/berylfakebackend"
	"berylspan/io/berylfakeplatform"
	"berylspan/io/berylfaultlink"
	"berylspan/io/berylframe"
	"berylspan/io/berylheader"
	"berylspan/io/berylserver"
	"berylspan/io/beryltransport"
)

// site is a small deployment: the built program as real processes, stand-ins in
// the test's own process, and a faulty link in front of every peers' listener.
type site struct {
	t        *testing.T
	dir      string
	platform *berylfakeplatform.Platform
	server   *berylserver.Server
	client   *http.Client
	peers    *berylfaultlink.Link
	nodes    []*process

	mu   sync.Mutex
	runs map[string][]time.Time // begun calls by path
	keys map[string]int         // begun calls by idempotency key
}

// process is one daemon and its backend server.
type process struct {
	id, zone string
	callers  string
	local    string
	backend  *berylfakebackend.Backend
	cmd      *exec.Cmd
	log      *bytes.Buffer
	done     chan struct{}
	err      error // of the process, once done
}

const (
	patience = 20 * time.Second
	every    = 20 * time.Millisecond
	getPath  = "/p.S/Get"
	putPath  = "/p.S/Put"
	pullPath = "/p.S/Pull"
)

//nolint:gochecknoglobals // The program is built once for all tests.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "berylspan")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "berylspan")
	out, err := exec.Command("go", "build", "-o", path, "berylspan").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// TestMain removes the built program.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := build(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

func lists(rate float64, keys ...string) ([]byte, []byte) {
	digests := []string{}
	for _, k := range keys {
		digests = append(digests, beryldigest.Of(k).String())
	}
	d, _ := json.Marshal(digests)
	ws := fmt.Sprintf(`{"workspaces":[{"name":"w","plan":"p","keys":%s}]}`, d)
	plans := fmt.Sprintf(`{"zones":[{"name":"a","weight":1},{"name":"b","weight":1}],
	 "routes":[{"path":%q,"service":"s","idempotent":true,"timeout":"5s"},
	  {"path":%q,"service":"s","class":"critical","timeout":"5s"},
	  {"path":%q,"service":"s","class":"bulk","idempotent":true,"stream":true,"timeout":"5s"}],
	 "plans":[{"name":"p","rate":%g,"burst":%g,"routes":["/p.S/*"]}]}`, getPath, putPath, pullPath, rate, max(rate/2, 2))
	return []byte(ws), []byte(plans)
}

// newSite starts stand-ins and publishes lists with the given rate and key.
func newSite(t *testing.T, rate float64, work func(path string) berylfakebackend.Work) *site {
	s := &site{t: t, dir: t.TempDir(), platform: berylfakeplatform.New(), peers: berylfaultlink.New(0), runs: map[string][]time.Time{}, keys: map[string]int{}}
	server, err := berylserver.Start("127.0.0.1:0", s.platform, nil)
	require.NoError(t, err)
	s.server = server
	s.client = beryltransport.HTTP2(beryltransport.NetDial(), nil)
	s.platform.Publish(lists(rate, "key"))
	for i, zone := range []string{"a", "a", "a", "b"} {
		s.add(fmt.Sprintf("s-%d", i), zone, work)
	}
	t.Cleanup(s.close)
	return s
}

func (s *site) close() {
	for _, p := range s.nodes {
		if p.cmd != nil {
			p.crash()
		}
		p.backend.Stop()
	}
	_ = s.server.Close()
	s.client.CloseIdleConnections()
}

func (s *site) add(id, zone string, work func(path string) berylfakebackend.Work) {
	p := &process{id: id, zone: zone, log: &bytes.Buffer{}}
	p.callers, p.local = s.free(), s.free()
	peers := s.free()
	reach, stop, err := s.peers.Proxy(peers)
	require.NoError(s.t, err)
	s.t.Cleanup(stop)
	p.backend = &berylfakebackend.Backend{Slots: 20, Queue: 100, Local: p.local, Work: work, Saw: s.saw}
	require.NoError(s.t, p.backend.Start("127.0.0.1:0"))
	set := fmt.Sprintf(`{"id":%q,"service":"s","zone":%q,"callers":%q,"peers":%q,"reach":%q,"local":%q,"backend":%q,"platform":"http://%s","secret":"a secret of the tests","slots":20,"drain":"15s"}`,
		id, zone, p.callers, peers, reach, p.local, p.backend.Addr(), s.server.Addr())
	require.NoError(s.t, os.WriteFile(s.settings(p), []byte(set), 0o600))
	s.nodes = append(s.nodes, p)
	var list []berylinstance.Instance
	for _, n := range s.nodes {
		list = append(list, berylinstance.Instance{ID: n.id, Service: "s", Zone: n.zone, PeerAddr: s.reach(n)})
	}
	s.platform.List(list)
}

func (s *site) settings(p *process) string { return filepath.Join(s.dir, p.id+".json") }

// seed lets p ask by while it knows no list.
func (s *site) seed(p, by *process) {
	data, err := os.ReadFile(s.settings(p))
	require.NoError(s.t, err)
	data = bytes.Replace(data, []byte("{"), fmt.Appendf(nil, `{"seeds":[%q],`, s.reach(by)), 1)
	require.NoError(s.t, os.WriteFile(s.settings(p), data, 0o600))
}

func (s *site) reach(p *process) string {
	data, err := os.ReadFile(s.settings(p))
	require.NoError(s.t, err)
	var doc struct{ Reach string }
	require.NoError(s.t, json.Unmarshal(data, &doc))
	return doc.Reach
}

// free returns an address below the range that the system gives to outgoing
// connections, so that nothing takes it before the daemon does.
func (s *site) free() string {
	for port := 20000 + os.Getpid()%500*20; ; port++ {
		ln, err := berylserver.Listen(fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addr := ln.Addr().String()
		if s.taken(addr) {
			require.NoError(s.t, ln.Close())
			continue
		}
		require.NoError(s.t, ln.Close())
		return addr
	}
}

func (s *site) taken(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys["address "+addr] > 0 {
		return true
	}
	s.keys["address "+addr]++
	return false
}

func (s *site) saw(path string, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[path] = append(s.runs[path], time.Now())
	if k := h.Get(berylheader.Idempotency); k != "" {
		s.keys[k]++
	}
}

func (s *site) start(ps ...*process) {
	bin, err := build()
	require.NoError(s.t, err)
	for _, p := range ps {
		p.cmd = exec.Command(bin, "serve", "-settings", s.settings(p))
		p.cmd.Stderr = p.log
		require.NoError(s.t, p.cmd.Start())
		p.done = make(chan struct{})
		go func() { p.err = p.cmd.Wait(); close(p.done) }()
	}
	for _, p := range ps {
		s.until("daemon "+p.id+" is ready", func() bool { return s.explain(p, "/health").status == http.StatusOK })
	}
}

func (s *site) until(what string, cond func() bool) {
	s.t.Helper()
	require.Eventually(s.t, cond, patience, every, what)
}

type explained struct {
	status   int
	Revision int64
	Broken   map[string]int
}

func (s *site) explain(p *process, path string) explained {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.local+path, http.NoBody)
	require.NoError(s.t, err)
	res, err := s.client.Do(req)
	if err != nil {
		return explained{}
	}
	defer func() { _ = res.Body.Close() }()
	e := explained{status: res.StatusCode}
	_ = json.NewDecoder(res.Body).Decode(&e)
	return e
}

// call makes one unary call.
func (s *site) call(p *process, path, key, repeat string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](s.client, "http://"+p.callers+path, connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: []byte(`{}`)})
	req.Header().Set(berylheader.Key, key)
	if repeat != "" {
		req.Header().Set(berylheader.Idempotency, repeat)
	}
	_, err := c.CallUnary(ctx, req)
	return err
}

// crash ends a daemon that this test started without warning.
func (p *process) crash() {
	p.signal(syscall.SIGKILL)
	<-p.done
	p.cmd = nil
}

// signal sends a signal to a daemon that this test started.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// healthy checks the invariants that the daemons assert themselves.
func (s *site) healthy(ps ...*process) {
	for _, p := range ps {
		require.Empty(s.t, s.explain(p, "/explain").Broken, "daemon %s", p.id)
	}
}
