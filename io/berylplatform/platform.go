// Package berylplatform reads what the platform publishes.
package berylplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
}

const maxAnswer = 4 << 20 // bytes

type lists struct {
	Revision   int64           `json:"revision"`
	Workspaces json.RawMessage `json:"workspaces"`
	Plans      json.RawMessage `json:"plans"`
}

type instances struct {
	Revision  int64      `json:"revision"`
	Instances []instance `json:"instances"`
}

type instance struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	PeerAddr string `json:"peer"`
	Leaving  bool   `json:"leaving"`
}

// HTTP returns the platform that answers at url. docs/PLATFORM.md describes the
// format.
func HTTP(url string, client *http.Client) *Platform {
	return &Platform{
		Lists: func(ctx context.Context, after int64, wait time.Duration) (int64, []byte, []byte, error) {
			var l lists
			err := get(ctx, client, fmt.Sprintf("%s/v1/lists?after=%d&wait=%s", url, after, wait), &l)
			return l.Revision, l.Workspaces, l.Plans, err
		},
		Instances: func(ctx context.Context, after int64, wait time.Duration) (int64, []berylinstance.Instance, error) {
			var l instances
			err := get(ctx, client, fmt.Sprintf("%s/v1/instances?after=%d&wait=%s", url, after, wait), &l)
			out := make([]berylinstance.Instance, len(l.Instances))
			for i, in := range l.Instances {
				out[i] = berylinstance.Instance(in)
			}
			return l.Revision, out, err
		},
	}
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
