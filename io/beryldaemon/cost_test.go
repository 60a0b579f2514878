package beryldaemon

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspan/core/beryldigest"
	"berylspan/io/berylfakebackend"
	"berylspan/io/beryltransport"
)

//nolint:gochecknoglobals // The flag package needs it.
var cost = flag.Bool("cost", false, "measure what control costs a daemon")

// counted counts the bytes of a connection, both ways.
type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// many returns lists with the given number of workspaces; round changes one.
func many(workspaces, round int) ([]byte, []byte) {
	var ws struct {
		Workspaces []map[string]any `json:"workspaces"`
	}
	for i := range workspaces {
		keys := []string{beryldigest.Of(fmt.Sprint("k", i)).String()}
		if i == 0 {
			keys = append(keys, beryldigest.Of(fmt.Sprint("round", round)).String())
		}
		ws.Workspaces = append(ws.Workspaces, map[string]any{"name": fmt.Sprint("workspace-", i), "plan": "p", "keys": keys})
	}
	doc, _ := json.Marshal(ws)
	return doc, []byte(`{"zones":[{"name":"z"}],"routes":[{"path":"/p.S/Get","service":"s","idempotent":true}],
		"plans":[{"name":"p","rate":100,"burst":100,"routes":["/p.S/Get"]}]}`)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestControlCost prints what control costs a daemon without traffic; it is for
// docs/CAPACITY.md and runs with -cost.
func TestControlCost(t *testing.T) {
	if !*cost {
		t.Skip("runs with -cost")
	}
	const span = 8 * time.Second
	scenarios := []struct {
		daemons, workspaces int
		every               time.Duration
	}{
		{10, 100, 0},
		{30, 100, 0},
		{100, 100, 0},
		{30, 100, time.Second},
		{30, 1000, time.Second},
		{30, 5000, time.Second},
	}
	for _, s := range scenarios {
		t.Run(fmt.Sprintf("%d daemons %d workspaces change every %v", s.daemons, s.workspaces, s.every), func(t *testing.T) {
			f := newFixture(t, nil, func(string) berylfakebackend.Work { return berylfakebackend.Work{} }, pair...)
			var bytes atomic.Int64
			f.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := beryltransport.NetDial()(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return counted{Conn: c, n: &bytes}, nil
			}
			f.platform.Publish(many(s.workspaces, 0))
			var idle, after runtime.MemStats
			for i := range s.daemons {
				f.add(fmt.Sprintf("s-%03d", i), "s")
			}
			runtime.GC()
			runtime.ReadMemStats(&idle)
			f.start()
			time.Sleep(3 * time.Second)
			cpu, sent, calls := processorTime(), bytes.Load(), f.platform.Calls()
			slowest := time.Duration(0)
			for begun, round := time.Now(), 1; time.Since(begun) < span; round++ {
				if s.every == 0 {
					time.Sleep(span)
					break
				}
				rev := f.platform.Publish(many(s.workspaces, round))
				at := time.Now()
				for _, n := range f.nodes {
					f.until("in force", func() bool { return n.daemon.revision() == rev })
				}
				slowest = max(slowest, time.Since(at))
				time.Sleep(time.Until(at.Add(s.every)))
			}
			n := float64(s.daemons) * span.Seconds()
			cpuPart := (processorTime() - cpu).Seconds() / n
			runtime.GC()
			runtime.ReadMemStats(&after)
			t.Logf("per daemon: %.2f %% of a core, %.2f KB/s, %.0f KB live heap; platform %.1f calls/s in all; slowest change %v",
				cpuPart*100, float64(bytes.Load()-sent)/n/1024, float64(int64(after.HeapAlloc)-int64(idle.HeapAlloc))/float64(s.daemons)/1024,
				float64(f.platform.Calls()-calls)/span.Seconds(), slowest.Round(time.Millisecond))
			require.Positive(t, bytes.Load())
		})
	}
}
