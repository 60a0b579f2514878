// Package berylplatform reads what the platform publishes.
package berylplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylinstance"

	"github.com/rotisserie/eris"
)

// Platform holds the calls to the configuration service as functions, so that
// another service can take its place. Lists returns both lists as of a revision
// above after, Instances the list of instances; both wait for a change for up
// to wait and return revision 0 when there was none.
type Platform struct {
	Lists     func(ctx context.Context, after int64, wait time.Duration) (revision int64, workspaces, plans []byte, err error)
	Instances func(ctx context.Context, after int64, wait time.Duration) (revision int64, list []berylinstance.Instance, err error)

	onFinding func(finding string)
}

const (
	maxAnswer    = 4 << 20 // bytes
	maxTextBytes = 260     // of a text of an instance: a host name of 253 bytes with a port
)

// OnFinding sets the function that is called for each entry of the list of instances that is
// left out because it cannot be used, with the reason.
func OnFinding(f func(finding string)) func(*Platform) {
	return func(p *Platform) { p.onFinding = f }
}

type lists struct {
	Revision   int64           `json:"revision"`
	Workspaces json.RawMessage `json:"workspaces"`
	Plans      json.RawMessage `json:"plans"`
}

type instances struct {
	Revision  int64             `json:"revision"`
	Instances []json.RawMessage `json:"instances"`
}

type instance struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	PeerAddr string `json:"peer"`
	Leaving  bool   `json:"leaving"`
}

// decodeInstance decodes an entry of the list of instances.
func decodeInstance(raw json.RawMessage) (berylinstance.Instance, error) {
	var in instance
	if err := json.Unmarshal(raw, &in); err != nil {
		return berylinstance.Instance{}, err
	}
	for _, name := range []string{in.ID, in.Service, in.Zone, in.PeerAddr} {
		if len(name) > maxTextBytes {
			return berylinstance.Instance{}, eris.Errorf("text of %d bytes, at most %d are allowed", len(name), maxTextBytes)
		}
	}
	if in.ID == "" || in.Service == "" {
		return berylinstance.Instance{}, eris.New("id and service are required")
	}
	host, port, err := net.SplitHostPort(in.PeerAddr)
	if err != nil {
		return berylinstance.Instance{}, eris.Wrapf(err, "instance %q", in.ID)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return berylinstance.Instance{}, eris.Errorf("instance %q: address has no host or no port between 1 and 65535", in.ID)
	}
	return berylinstance.Instance(in), nil
}

// decodeInstances decodes a list of instances without the entries that cannot be used.
func (p *Platform) decodeInstances(entries []json.RawMessage) []berylinstance.Instance {
	out := make([]berylinstance.Instance, 0, len(entries))
	for i, raw := range entries {
		in, err := decodeInstance(raw)
		if err != nil {
			p.onFinding(fmt.Sprintf("instances[%d]: %v", i, err))
			continue
		}
		out = append(out, in)
	}
	return out
}

// HTTP returns the platform that answers at url. docs/PLATFORM.md describes the
// format.
func HTTP(url string, client *http.Client, opts ...func(*Platform)) *Platform {
	p := &Platform{onFinding: func(string) {}}
	for _, opt := range opts {
		opt(p)
	}
	p.Lists = func(ctx context.Context, after int64, wait time.Duration) (int64, []byte, []byte, error) {
		var l lists
		err := get(ctx, client, fmt.Sprintf("%s/v1/lists?after=%d&wait=%s", url, after, wait), &l)
		return l.Revision, l.Workspaces, l.Plans, err
	}
	p.Instances = func(ctx context.Context, after int64, wait time.Duration) (int64, []berylinstance.Instance, error) {
		var l instances
		err := get(ctx, client, fmt.Sprintf("%s/v1/instances?after=%d&wait=%s", url, after, wait), &l)
		return l.Revision, p.decodeInstances(l.Instances), err
	}
	return p
}

// get leaves into as it is when nothing changed.
func get(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	res, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return nil
	}
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("platform: status %d", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	return eris.Wrap(json.Unmarshal(body, into), "platform")
}
