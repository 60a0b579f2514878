package beryldaemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"berylspan/io/berylfakebackend"
	"berylspan/io/berylheader"
	"berylspan/io/beryltransport"
)

// authority writes a self-signed certificate for 127.0.0.1 that is its own
// authority, and returns the files and the pool that trusts it.
func authority(t *testing.T) (cert, key string, pool *x509.CertPool) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	bytes, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	require.NoError(t, os.WriteFile(cert, certPEM, 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: bytes}), 0o600))
	pool = x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(certPEM))
	return cert, key, pool
}

func TestDaemonsAuthenticateEachOther(t *testing.T) {
	cert, key, pool := authority(t)
	f := newFixture(t, nil, func(string) berylfakebackend.Work { return berylfakebackend.Work{} }, pair...)
	f.client = beryltransport.HTTP2(beryltransport.NetDial(), &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12})
	f.scheme = "https://"
	// The call must travel: the entry's own service is another.
	for _, n := range []*instance{f.add("entry", "other"), f.add("s-1", "s")} {
		n.set.Cert, n.set.Key, n.set.CA = cert, key, cert
	}
	f.start()
	f.until("a call travels over TLS", func() bool { return f.call(f.nodes[0], "/p.S/Get", "") == nil })

	req, err := http.NewRequest(http.MethodPost, "https://"+f.nodes[1].set.Peers+"/p.S/Get", nil)
	require.NoError(t, err)
	req.Header.Set(berylheader.Peer, "a secret of the tests")
	res, err := f.client.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	require.Error(t, err, "a caller without a daemon's certificate")
}

func TestUnusableCertificatesAreTold(t *testing.T) {
	cert, key, _ := authority(t)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	f := newFixture(t, nil, func(string) berylfakebackend.Work { return berylfakebackend.Work{} }, pair...)
	scenarios := []struct{ name, cert, key, ca, want string }{
		{"no authority", cert, key, empty, "holds no certificate"},
		{"no certificate", empty, key, cert, "cert: "},
		{"no file", cert, key + ".none", cert, "no such file"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			set := f.add("s-"+s.name, "s").set
			set.Cert, set.Key, set.CA = s.cert, s.key, s.ca
			_, err := New(set, zerolog.Nop())
			require.ErrorContains(t, err, s.want)
		})
	}
}
