// Package berylhttpconfig holds the published configuration of HTTP rules and
// accounts.
package berylhttpconfig

import (
	"maps"
	"slices"
	"strings"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylcoldstart"
	"berylspan/core/berylrule"
)

// Config is one version of the configuration. It is immutable. MaxConns holds, by
// service, the maximum number of connections that a backend server accepts.
type Config struct {
	Version        int64
	RequireKey     bool // requests need an API key unless their rule is exempt
	MaxHeaderBytes int  // of the request line and the header fields together
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	IdleTimeout    time.Duration // between two requests on a connection
	MaxConns       map[string]int
	ColdStarts     map[string]berylcoldstart.ColdStart // by service, of those whose cold backend servers have a limit

	rulesByHost map[string][]*berylrule.Rule
	byKey       map[string]*berylaccount.Account
	byWorkspace map[string]*berylaccount.Account
	ruleCount   int

	lowestRulePriority    int // priority of the least important rule that needs an API key
	lowestAccountPriority int // priority of the least important workspace
}

// Defaults for limits that the configuration does not set.
const (
	DefaultMaxHeaderBytes = 16 << 10 // bytes
	DefaultMaxBodyBytes   = 64 << 20 // bytes
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 30 * time.Second
)

// New returns a configuration with the default limits. The map keys holds the
// account of each API key.
func New(version int64, rules []berylrule.Rule, keys map[string]*berylaccount.Account) *Config {
	c := &Config{
		Version: version, MaxHeaderBytes: DefaultMaxHeaderBytes, MaxBodyBytes: DefaultMaxBodyBytes,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
		MaxConns: map[string]int{}, ColdStarts: map[string]berylcoldstart.ColdStart{}, rulesByHost: map[string][]*berylrule.Rule{},
		byKey: keys, byWorkspace: map[string]*berylaccount.Account{}, ruleCount: len(rules),
	}
	for i := range rules {
		host := strings.ToLower(rules[i].Host)
		c.rulesByHost[host] = append(c.rulesByHost[host], &rules[i])
		if !rules[i].AuthExempt {
			c.lowestRulePriority = max(c.lowestRulePriority, rules[i].Priority)
		}
	}
	for _, a := range keys {
		c.byWorkspace[a.Workspace] = a
		if a.HasPriority {
			c.lowestAccountPriority = max(c.lowestAccountPriority, a.Priority)
		}
	}
	return c
}

// RuleCount returns the number of rules.
func (c *Config) RuleCount() int { return c.ruleCount }

// Match returns the rule for host that has the longest matching path prefix, or
// nil. A port in host is ignored.
func (c *Config) Match(host, path string) *berylrule.Rule {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *berylrule.Rule
	for _, r := range c.rulesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// AccountByKey returns the account that the API key belongs to, or nil.
func (c *Config) AccountByKey(key string) *berylaccount.Account { return c.byKey[key] }

// AccountByWorkspace returns the account of the workspace called name, or nil.
func (c *Config) AccountByWorkspace(name string) *berylaccount.Account { return c.byWorkspace[name] }

// PrioritySteps returns by how many steps, 0 to 3, a request is more important than
// the least important requests of this configuration: one step if its workspace has
// a priority above the lowest, and up to two for its rule.
func (c *Config) PrioritySteps(rule *berylrule.Rule, a *berylaccount.Account) int {
	steps := min(max(c.lowestRulePriority-rule.Priority, 0), 2)
	if a != nil && a.HasPriority && a.Priority < c.lowestAccountPriority {
		steps++
	}
	return steps
}

// Workspaces returns the sorted names of all workspaces that have an API key.
func (c *Config) Workspaces() []string { return slices.Sorted(maps.Keys(c.byWorkspace)) }
