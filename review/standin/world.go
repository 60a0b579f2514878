// Command standin plays a small deployment around the built program: the platform's store, backend
// servers, clients and one daemon beside each backend server. Each case of the review is one of its
// subcommands.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds as in the site files.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	graceTime    = 6 * time.Second
)

// World is a running deployment. All of its addresses are loopback addresses.
type World struct {
	dir     string
	trouble bool
	store   *Store
	nodes   []*Node
	start   time.Time

	mu     sync.Mutex
	record *os.File
}

// Node is a machine with a backend server and a daemon beside it.
type Node struct {
	w        *World
	name     string
	host     string
	zone     string
	outbound string
	ready    string
	settings string
	up       *Upstream
	storeAt  *storePort

	cmd  *exec.Cmd
	done chan struct{}
}

// NewWorld returns a world with a store, which writes its record to the given file.
func NewWorld(record string, trouble bool) *World {
	f, err := os.Create(record)
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	w := &World{dir: dir, trouble: trouble, record: f, start: time.Now()}
	w.store = newStore()
	return w
}

// Note writes a line to the record, with the time since the start of the world.
func (w *World) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as in the record.
func (w *World) At(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// hostFor returns a loopback address that no other world is likely to use.
func hostFor(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, 1+pid/200%250, i+2)
}

// freePorts returns the first of n ports that are free at a host.
func freePorts(host string, n int) int {
	for base := 20000 + os.Getpid()%97*100; base < 60000; base += n {
		if portsFree(host, base, n) {
			return base
		}
	}
	fail("no free ports at %s", host)
	return 0
}

func portsFree(host string, base, n int) bool {
	for p := base; p < base+n; p++ {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(p)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// AddNode adds a machine of a service, with its backend server running and its settings written.
// The daemon is not started.
func (w *World) AddNode(service, zone string, slots int) *Node {
	i := len(w.nodes)
	n := &Node{w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, i), host: hostFor(i), zone: zone}
	if i == 0 {
		w.store.port = freePorts(n.host, 20)
	}
	base := w.store.port
	at := func(p int) string { return net.JoinHostPort(n.host, strconv.Itoa(base+p)) }
	n.outbound, n.ready = at(1), at(2)
	n.storeAt = w.store.listen()
	n.up = newUpstream(w, fmt.Sprintf("i-%d", i), service, zone, at(0), slots)
	n.up.Start()
	n.settings = filepath.Join(w.dir, n.name+".json")
	data, err := json.Marshal(map[string]any{
		"self":     map[string]any{"node": n.name, "role": "daemon", "machine_class": "sidecar", "serves": []string{"sidecar"}, "ip": n.host, "zone": zone, "region": "r", "app_addr": at(0), "service": service},
		"network":  map[string]any{"listen": map[string]any{"inbound": at(3), "outbound": n.outbound, "ready": n.ready}, "internal_ports": []int{base + 4, base + 19}, "seeds": []string{}},
		"platform": map[string]any{"discovery": "platform", "entry": "static", "heartbeat_s": 1.5, "platform": map[string]any{"address": n.storeAt.addr, "form": "read", "reads_per_s": 2000, "history_s": 20}},
		"terms": map[string]any{"bounds": map[string]any{
			"stable_window_s": stableWindow.Seconds(), "drain_s": drainTime.Seconds(), "grace_s": graceTime.Seconds(), "config_apply_s": configApply.Seconds(),
			"quota_window_s": 5, "quota_overshoot": 0.25, "quota_slack": 20, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 50,
		}},
	})
	check(err)
	check(os.WriteFile(n.settings, data, 0o600))
	w.nodes = append(w.nodes, n)
	return n
}

// Begin enlists all backend servers, starts all daemons and waits until they are ready.
func (w *World) Begin() {
	for _, n := range w.nodes {
		n.up.Enlist("ready")
		n.StartDaemon()
	}
	for _, n := range w.nodes {
		n.AwaitReady()
	}
	time.Sleep(stableWindow + time.Second) // All daemons are in touch.
	w.Note("traffic starts")
}

// StartDaemon starts the daemon with the command of the deploy file.
func (n *Node) StartDaemon() {
	cmd := exec.Command(daemonPath(), "sidecar")
	cmd.Env = append(os.Environ(), "BERYLSPAN_CONFIG="+n.settings)
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	daemons.add(cmd.Process)
	n.cmd, n.done = cmd, make(chan struct{})
	done := n.done
	go func() {
		_ = cmd.Wait()
		n.w.Note("daemon %s ended: %s", n.name, cmd.ProcessState)
		_ = log.Close()
		close(done)
	}()
	n.w.Note("daemon %s starts at %s", n.name, n.outbound)
}

// Signal sends a signal to the daemon.
func (n *Node) Signal(sig syscall.Signal) {
	n.w.Note("daemon %s gets %s", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// AwaitReady waits until the daemon answers 200 to the readiness check.
func (n *Node) AwaitReady() {
	for range 400 {
		if status, err := get("http://" + n.ready + "/readiness"); err == nil && status == 200 {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	fail("daemon %s is not ready; see %s", n.name, n.w.dir)
}

// End kills all daemons, closes the servers and removes the temporary folder.
func (w *World) End() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
		n.up.Stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.record.Close()
}

func daemonPath() string {
	if p := os.Getenv("DAEMON"); p != "" {
		return p
	}
	return "target/berylspan"
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// started holds the processes that this one has started, so that none outlives it.
type started struct {
	mu   sync.Mutex
	list []*os.Process
}

var daemons started

func (s *started) add(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, p)
}

func (s *started) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		_ = p.Kill() // Most have ended.
	}
}

// exit ends this process and those that it started.
func exit(code int) {
	daemons.kill()
	os.Exit(code)
}

// fail ends the process with the code of a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	exit(2)
}
