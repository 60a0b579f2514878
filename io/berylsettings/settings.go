// Package berylsettings reads a daemon's settings file.
package berylsettings

import (
	"fmt"
	"net"
	"os"
	"time"

	"berylspan/core/berylfinding"
	"berylspan/core/beryljson"

	"github.com/rotisserie/eris"
)

// Settings is everything that a daemon learns from its file. All other
// knowledge comes from the platform and from other daemons.
type Settings struct {
	ID       string        // name of the instance, unique in the fleet
	Service  string        // service of the backend server beside the daemon
	Zone     string        // data centre of the instance
	Callers  string        // address to listen on for callers
	Peers    string        // address to listen on for other daemons
	Reach    string        // address under which other daemons reach Peers
	Local    string        // loopback address for the backend server and operators
	Backend  string        // address of the backend server
	HTTP1    bool          // the backend server speaks HTTP/1.1 only
	Slots    int           // calls that the backend server says it can run at once, 0 unknown
	Platform string        // URL of the configuration service
	Seeds    []string      // daemons to ask while no list is known
	Secret   string        // shared by all daemons of the fleet
	Drain    time.Duration // longest graceful shutdown
	Level    string        // lowest level of log lines: debug, info, warn or error
	Format   string        // format of log lines: json or text
	Pprof    bool          // serve profiles on the local listener
	Strict   bool          // end the process on a violated invariant
	Cert     string        // PEM file of this instance's certificate chain
	Key      string        // PEM file of its private key
	CA       string        // PEM file of the authorities that sign daemons' certificates
	Memory   int64         // bytes that the process may take, 0 for those of its control group or twice GOMEMLIMIT
	Sockets  int           // that the process may have open, 0 for its limit of open files
}

// Default returns the settings that hold where the file is silent.
func Default() Settings {
	return Settings{
		Callers: "127.0.0.1:8080",
		Peers:   "127.0.0.1:8081",
		Local:   "127.0.0.1:8082",
		Drain:   30 * time.Second,
		Level:   "info",
		Format:  "json",
	}
}

const (
	maxSlots  = 100_000
	minSecret = 16 // bytes
	maxDrain  = 10 * time.Minute

	maxMemoryMB = 1 << 20
	maxSockets  = 1 << 20
)

// Load reads the file at path. All findings are in the error.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	s, findings := Parse(path, data)
	return s, berylfinding.Join(findings)
}

// Parse validates the settings in data; file is named in findings.
func Parse(file string, data []byte) (Settings, []berylfinding.Finding) {
	var out []berylfinding.Finding
	s := Default()
	n := beryljson.Parse(file, data, &out).Object("id", "service", "zone", "callers", "peers", "reach", "local", "backend",
		"http1", "slots", "platform", "seeds", "secret", "drain", "level", "format", "pprof", "strict", "cert", "key", "ca", "memory", "sockets")
	if !n.Exists() {
		return s, out
	}
	s.ID = n.Field("id").RequiredString()
	s.Service = n.Field("service").RequiredString()
	s.Zone = n.Field("zone").RequiredString()
	s.Callers = address(n.Field("callers"), s.Callers)
	s.Peers = address(n.Field("peers"), s.Peers)
	s.Reach = address(n.Field("reach"), s.Peers)
	s.Local = address(n.Field("local"), s.Local)
	s.Backend = address(n.Field("backend"), "")
	s.HTTP1 = n.Field("http1").Bool(false)
	s.Slots = int(n.Field("slots").Number(0, 0, maxSlots))
	s.Platform = n.Field("platform").RequiredString()
	for _, item := range n.Field("seeds").Items() {
		s.Seeds = append(s.Seeds, address(item, ""))
	}
	s.Secret = n.Field("secret").RequiredString()
	s.Drain = n.Field("drain").Duration(s.Drain, 0, maxDrain)
	s.Level = oneOf(n.Field("level"), s.Level, "debug", "info", "warn", "error")
	s.Format = oneOf(n.Field("format"), s.Format, "json", "text")
	s.Pprof = n.Field("pprof").Bool(false)
	s.Strict = n.Field("strict").Bool(false)
	s.Cert = n.Field("cert").Text("")
	s.Key = n.Field("key").Text("")
	s.CA = n.Field("ca").Text("")
	s.Memory = int64(n.Field("memory").Number(0, 0, maxMemoryMB)) << 20
	s.Sockets = int(n.Field("sockets").Number(0, 0, maxSockets))
	s.check(n)
	return s, out
}

// check finds faults between settings.
func (s *Settings) check(n beryljson.Node) {
	if s.Secret != "" && len(s.Secret) < minSecret {
		n.Field("secret").AddFinding(fmt.Sprintf("must have at least %d bytes", minSecret))
	}
	if host, _, err := net.SplitHostPort(s.Local); err == nil && !loopback(host) {
		n.Field("local").AddFinding("must be a loopback address")
	}
	tls := 0
	for _, f := range []string{s.Cert, s.Key, s.CA} {
		if f != "" {
			tls++
		}
	}
	if tls != 0 && tls != 3 {
		n.Field("cert").AddFinding("cert, key and ca must be given together")
	}
	for _, name := range []string{"callers", "peers"} {
		host, _, _ := net.SplitHostPort(n.Field(name).Text("127.0.0.1:0"))
		if tls == 0 && !loopback(host) {
			n.Field(name).AddFinding("needs cert, key and ca unless it is a loopback address")
		}
	}
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func address(n beryljson.Node, def string) string {
	if def == "" && !n.Exists() {
		n.AddFinding("missing")
		return ""
	}
	s := n.Text(def)
	host, _, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		n.AddFinding("must be an IP address with a port")
	}
	return s
}

func oneOf(n beryljson.Node, def string, allowed ...string) string {
	s := n.Text(def)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	n.AddFinding(fmt.Sprintf("must be one of %v", allowed))
	return def
}
