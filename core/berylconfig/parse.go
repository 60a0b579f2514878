package berylconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/beryldigest"
	"berylspan/core/berylfinding"
	"berylspan/core/beryljson"
	"berylspan/core/berylplan"
	"berylspan/core/berylroute"
	"berylspan/core/berylworkspace"
	"berylspan/core/berylzone"
)

// Limits on the lists and their values.
const (
	MaxListBytes   = 1 << 20 // per list
	maxRate        = 1e7     // calls per second
	maxBurst       = 1e8     // calls
	maxWeight      = 1e6
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	defaultTimeout = 2 * time.Second
)

// Names of the two lists in findings.
const (
	WorkspacesFile = "workspaces"
	PlansFile      = "plans"
)

type parser struct {
	cfg      *Config
	findings []berylfinding.Finding
}

// Parse validates both lists. The result depends only on the arguments, so that
// all daemons accept and reject the same lists. The configuration is nil if there
// are findings.
func Parse(revision int64, workspaces, plans []byte) (*Config, []berylfinding.Finding) {
	p := &parser{cfg: &Config{
		Revision:   revision,
		Routes:     map[string]*berylroute.Route{},
		Plans:      map[string]*berylplan.Plan{},
		Workspaces: map[string]*berylworkspace.Workspace{},
		byKey:      map[beryldigest.Digest]*berylworkspace.Workspace{},
	}}
	p.checkSize(WorkspacesFile, workspaces)
	p.checkSize(PlansFile, plans)
	if len(p.findings) == 0 {
		p.parsePlans(beryljson.Parse(PlansFile, plans, &p.findings))
		p.parseWorkspaces(beryljson.Parse(WorkspacesFile, workspaces, &p.findings))
	}
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return p.cfg, nil
}

func (p *parser) checkSize(file string, data []byte) {
	if len(data) > MaxListBytes {
		text := fmt.Sprintf("has %d bytes, at most %d are allowed", len(data), MaxListBytes)
		p.findings = append(p.findings, berylfinding.Finding{File: file, Message: text})
	}
}

func (p *parser) parsePlans(root beryljson.Node) {
	root = root.Object("zones", "routes", "plans")
	if !root.Exists() {
		return
	}
	p.parseZones(root.Field("zones"))
	p.parseRoutes(root.Field("routes"))
	for _, n := range requiredItems(root.Field("plans")) {
		p.parsePlan(n.Object("name", "rate", "burst", "routes"))
	}
}

func requiredItems(n beryljson.Node) []beryljson.Node {
	items := n.Items()
	if len(items) == 0 {
		n.AddFinding("must not be empty")
	}
	return items
}

func (p *parser) parseZones(n beryljson.Node) {
	seen := map[string]bool{}
	for _, item := range requiredItems(n) {
		item = item.Object("name", "weight")
		z := berylzone.Zone{Name: item.Field("name").RequiredString()}
		z.Weight = item.Field("weight").Number(1, 1e-6, maxWeight)
		if seen[z.Name] {
			item.Field("name").AddFinding("given twice")
		}
		seen[z.Name] = true
		p.cfg.Zones = append(p.cfg.Zones, z)
	}
	slices.SortFunc(p.cfg.Zones, func(a, b berylzone.Zone) int { return cmp.Compare(a.Name, b.Name) })
}

func (p *parser) parseRoutes(n beryljson.Node) {
	for _, item := range requiredItems(n) {
		item = item.Object("path", "service", "class", "idempotent", "open", "inner", "stream", "timeout")
		r := &berylroute.Route{
			Path:       item.Field("path").RequiredString(),
			Service:    item.Field("service").RequiredString(),
			Idempotent: item.Field("idempotent").Bool(false),
			AuthExempt: item.Field("open").Bool(false),
			Internal:   item.Field("inner").Bool(false),
			Streaming:  item.Field("stream").Bool(false),
			Timeout:    item.Field("timeout").Duration(defaultTimeout, minTimeout, maxTimeout),
		}
		class, ok := berylclass.Parse(item.Field("class").Text(berylclass.Standard.String()))
		if !ok {
			item.Field("class").AddFinding("must be critical, standard or bulk")
		}
		r.Class = class
		p.addRoute(item, r)
	}
}

func (p *parser) addRoute(item beryljson.Node, r *berylroute.Route) {
	if r.Path != "" && (r.Path[0] != '/' || strings.Count(r.Path, "/") != 2) {
		item.Field("path").AddFinding("must have the form /package.Service/Method")
	}
	if p.cfg.Routes[r.Path] != nil {
		item.Field("path").AddFinding("given twice")
	}
	if r.AuthExempt && r.Internal {
		item.Field("open").AddFinding("an inner route cannot be open")
	}
	p.cfg.Routes[r.Path] = r
}

func (p *parser) parsePlan(n beryljson.Node) {
	plan := &berylplan.Plan{
		Name:  n.Field("name").RequiredString(),
		Rate:  n.Field("rate").Number(0, 1e-3, maxRate),
		Burst: n.Field("burst").Number(0, 1, maxBurst),
	}
	for _, f := range []string{"rate", "burst"} {
		if !n.Field(f).Exists() {
			n.Field(f).AddFinding("missing")
		}
	}
	if p.cfg.Plans[plan.Name] != nil {
		n.Field("name").AddFinding("given twice")
	}
	for _, item := range requiredItems(n.Field("routes")) {
		path := item.RequiredString()
		plan.Routes = append(plan.Routes, path)
		if path != "" && !p.matchesExternalRoute(path) {
			item.AddFinding(fmt.Sprintf("no route %q", path))
		}
	}
	p.cfg.Plans[plan.Name] = plan
}

// matchesExternalRoute reports whether path, an entry of a plan's routes, matches
// at least one route that external callers may use.
func (p *parser) matchesExternalRoute(path string) bool {
	single := berylplan.Plan{Routes: []string{path}}
	for _, r := range p.cfg.Routes {
		if !r.Internal && single.Allows(r.Path) {
			return true
		}
	}
	return false
}

func (p *parser) parseWorkspaces(root beryljson.Node) {
	root = root.Object("workspaces")
	if !root.Exists() {
		return
	}
	for _, n := range root.Field("workspaces").Items() {
		p.parseWorkspace(n)
	}
}

func (p *parser) parseWorkspace(n beryljson.Node) {
	n = n.Object("name", "plan", "keys")
	w := &berylworkspace.Workspace{Name: n.Field("name").RequiredString()}
	plan := n.Field("plan").RequiredString()
	w.Plan = p.cfg.Plans[plan]
	if plan != "" && w.Plan == nil {
		n.Field("plan").AddFinding(fmt.Sprintf("no plan %q", plan))
	}
	if p.cfg.Workspaces[w.Name] != nil {
		n.Field("name").AddFinding("given twice")
	}
	p.parseKeys(n.Field("keys"), w)
	p.cfg.Workspaces[w.Name] = w
}

func (p *parser) parseKeys(n beryljson.Node, w *berylworkspace.Workspace) {
	for _, item := range n.Items() {
		d, ok := beryldigest.Parse(item.Text(""))
		if !ok {
			item.AddFinding("must be 64 hexadecimal digits, the SHA-256 of a key")
			continue
		}
		if p.cfg.byKey[d] != nil {
			item.AddFinding("given twice")
			continue
		}
		p.cfg.byKey[d] = w
		w.KeyDigests = append(w.KeyDigests, d)
	}
}
