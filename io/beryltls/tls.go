// Package beryltls reads certificates and makes the TLS settings of a daemon's
// listeners and connections.
package beryltls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// TLS holds the certificate of this instance and the authorities that sign
// daemons' certificates. It is safe for concurrent use.
type TLS struct {
	cert, key string
	pool      *x509.CertPool
	log       zerolog.Logger

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time // of the certificate's file
	looked  time.Time
}

const lookEvery = 10 * time.Second

// Load reads the PEM files. It returns nil when cert is empty.
func Load(cert, key, ca string, log zerolog.Logger) (*TLS, error) {
	if cert == "" {
		return nil, nil
	}
	t := &TLS{cert: cert, key: key, pool: x509.NewCertPool(), log: log}
	pem, err := os.ReadFile(ca) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, eris.Wrap(err, "ca")
	}
	if !t.pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("ca: %s holds no certificate", ca)
	}
	if err := t.read(); err != nil {
		return nil, eris.Wrap(err, "cert")
	}
	leaf := t.current.Leaf
	if now := time.Now(); now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return nil, eris.Errorf("cert: valid from %v to %v only", leaf.NotBefore, leaf.NotAfter)
	}
	return t, nil
}

func (t *TLS) read() error {
	info, err := os.Stat(t.cert)
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(t.cert, t.key)
	if err != nil {
		return err
	}
	t.current, t.changed = &pair, info.ModTime()
	return nil
}

// certificate returns the newest certificate. A faulty file leaves the one in
// use; open connections keep theirs.
func (t *TLS) certificate() *tls.Certificate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.looked) < lookEvery {
		return t.current
	}
	t.looked = now
	info, err := os.Stat(t.cert)
	if err == nil && !info.ModTime().Equal(t.changed) {
		err = t.read()
	}
	if err != nil {
		t.log.Error().Err(err).Msg("certificate not reloaded")
	}
	return t.current
}

// Callers returns the settings of the callers' listener.
func (t *TLS) Callers() *tls.Config {
	if t == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return t.certificate(), nil },
	}
}

// Peers returns the settings of the peers' listener: only daemons with a
// certificate of the authorities may connect.
func (t *TLS) Peers() *tls.Config {
	if t == nil {
		return nil
	}
	c := t.Callers()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = t.pool
	return c
}

// Client returns the settings of connections to other daemons.
func (t *TLS) Client() *tls.Config {
	if t == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    t.pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.certificate(), nil
		},
	}
}
