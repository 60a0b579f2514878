// Package berylcontrolclients provides RPC clients for the control service of other daemons.
package berylcontrolclients

import (
	"net/http"
	"sync"

	"berylspan/io/berylheader"
	"berylspan/io/berylwire"
)

// Clients caches one Twirp client per address. It is safe for concurrent use.
type Clients struct {
	httpClient berylwire.HTTPClient
	scheme     string
	byAddr     sync.Map
}

// New returns clients that send requests through httpClient to URLs with the given scheme
// and authenticate with secret, which all daemons of the fleet share.
func New(httpClient berylwire.HTTPClient, scheme, secret string) *Clients {
	return &Clients{httpClient: authClient{httpClient: httpClient, secret: secret}, scheme: scheme}
}

// For returns the client for the daemon at addr.
func (c *Clients) For(addr string) berylwire.Control {
	if cached, ok := c.byAddr.Load(addr); ok {
		client, _ := cached.(berylwire.Control)
		return client
	}
	client := berylwire.NewControlProtobufClient(c.scheme+"://"+addr, c.httpClient)
	c.byAddr.Store(addr, client)
	return client
}

// authClient adds the fleet's secret to every request; daemons reject requests without it.
type authClient struct {
	httpClient berylwire.HTTPClient
	secret     string
}

func (a authClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(berylheader.Peer, a.secret)
	return a.httpClient.Do(req)
}
