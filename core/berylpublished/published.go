// Package berylpublished holds one version of the published configuration.
package berylpublished

import (
	"maps"
	"slices"
	"strings"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylrule"
)

// Published is an immutable version. Conns holds the most connections that a
// backend server of each service accepts.
type Published struct {
	Version  int64
	Keyed    bool // requests of rules that are not open need a key
	Header   int  // bytes of a request's head
	Body     int64
	HeadTime time.Duration // from the first byte to the end of a head
	IdleTime time.Duration // between requests on a connection
	Conns    map[string]int

	hosts map[string][]*berylrule.Rule
	keys  map[string]*berylaccount.Account
	names map[string]*berylaccount.Account
	rules int

	lowRule    int // rank of the least important rule that needs a key
	lowAccount int // rank of the least important workspace
}

// Limits that hold where the configuration is silent.
const (
	DefaultHeader   = 16 << 10 // bytes
	DefaultBody     = 64 << 20 // bytes
	DefaultHeadTime = 5 * time.Second
	DefaultIdleTime = 30 * time.Second
)

// New returns a version with the default limits and the given rules and
// accounts by key.
func New(version int64, rules []berylrule.Rule, keys map[string]*berylaccount.Account) *Published {
	p := &Published{
		Version: version, Header: DefaultHeader, Body: DefaultBody,
		HeadTime: DefaultHeadTime, IdleTime: DefaultIdleTime,
		Conns: map[string]int{}, hosts: map[string][]*berylrule.Rule{},
		keys: keys, names: map[string]*berylaccount.Account{}, rules: len(rules),
	}
	for i := range rules {
		host := strings.ToLower(rules[i].Host)
		p.hosts[host] = append(p.hosts[host], &rules[i])
		if !rules[i].Open {
			p.lowRule = max(p.lowRule, rules[i].Rank)
		}
	}
	for _, a := range keys {
		p.names[a.Workspace] = a
		if a.Ranked {
			p.lowAccount = max(p.lowAccount, a.Rank)
		}
	}
	return p
}

// Rules returns the number of rules.
func (p *Published) Rules() int { return p.rules }

// Match returns the rule of the host whose prefix is the longest that begins
// the path, or nil. A port in host is ignored.
func (p *Published) Match(host, path string) *berylrule.Rule {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *berylrule.Rule
	for _, r := range p.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Holder returns the account that the key belongs to, or nil.
func (p *Published) Holder(key string) *berylaccount.Account { return p.keys[key] }

// Account returns the account of a workspace, or nil.
func (p *Published) Account(workspace string) *berylaccount.Account { return p.names[workspace] }

// Steps returns how many steps a request is more important than the least
// important ones of this version, 0 to 3: one when its workspace goes before
// others, and up to two for its rule.
func (p *Published) Steps(rule *berylrule.Rule, a *berylaccount.Account) int {
	steps := min(max(p.lowRule-rule.Rank, 0), 2)
	if a != nil && a.Ranked && a.Rank < p.lowAccount {
		steps++
	}
	return steps
}

// Workspaces returns the names of all workspaces that have a key.
func (p *Published) Workspaces() []string { return slices.Sorted(maps.Keys(p.names)) }
