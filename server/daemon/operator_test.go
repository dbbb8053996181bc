package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/daemon/settings"
)

// authority signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert, key, pool}
}

// issue returns the PEM of a certificate for an address, or for a client, and of its key.
func (a *authority) issue(t *testing.T, ip string) (certPEM, keyPEM []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "leaf"}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
}

func (a *authority) client(t *testing.T) tls.Certificate {
	t.Helper()
	cert, err := tls.X509KeyPair(a.issue(t, "127.0.0.1"))
	assert.NilError(t, err)
	return cert
}

// tlsSettings returns settings whose operator listener has a certificate of the authority.
func tlsSettings(t *testing.T, a *authority) string {
	t.Helper()
	text := nodeSettings(startLog(t), "n1")
	s, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	host, _, err := net.SplitHostPort(s.Listen.Operator)
	assert.NilError(t, err)
	cert, key := a.issue(t, host)
	dir := t.TempDir()
	for name, data := range map[string][]byte{
		"cert": cert, "key": key, "ca": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}),
	} {
		file := filepath.Join(dir, name+".pem")
		assert.NilError(t, os.WriteFile(file, data, 0o600))
		text += fmt.Sprintf("operator_%s_file = %s\n", name, file)
	}
	return text
}

// Guards against an operator listener with certificates that serves clients which have none of its authority.
func TestOperatorTLS(t *testing.T) {
	a := newAuthority(t)
	n := startNode(t, tlsSettings(t, a))
	eventually(t, "the node is ready", func() bool { return n.control.View().Ready })
	for _, test := range []struct {
		name        string
		credentials credentials.TransportCredentials
		code        codes.Code
	}{
		{"no TLS", nil, codes.Unavailable},
		{"no certificate", credentials.NewTLS(&tls.Config{RootCAs: a.pool}), codes.Unavailable},
		{"certificate of another authority", credentials.NewTLS(&tls.Config{
			RootCAs: a.pool, Certificates: []tls.Certificate{newAuthority(t).client(t)},
		}), codes.Unavailable},
		{"old TLS", credentials.NewTLS(&tls.Config{
			RootCAs: a.pool, Certificates: []tls.Certificate{a.client(t)}, MaxVersion: tls.VersionTLS12,
		}), codes.Unavailable},
		{"valid", credentials.NewTLS(&tls.Config{RootCAs: a.pool, Certificates: []tls.Certificate{a.client(t)}}), codes.OK},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := pb.NewConfigServiceClient(n.dial(t, test.credentials)).ListServices(ctx, &pb.ListServicesRequest{})
		cancel()
		assert.Equal(t, status.Code(err), test.code, "%s: %v", test.name, err)
	}
}

// Guards against a node that starts without the certificates that its settings name.
func TestUnusableCertificates(t *testing.T) {
	text := nodeSettings(startLog(t), "n1") + "operator_cert_file = /none\noperator_key_file = /none\noperator_ca_file = /none\n"
	s, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	_, err = New(s)
	assert.ErrorContains(t, err, "load operator certificate")
	assert.Assert(t, !listening(s.Listen.Peer), "a listener stays open after a failed start")
}

// Guards against a stop that cuts the call of an operator who waits for the verdict on a change.
func TestOperatorsCallDuringStop(t *testing.T) {
	l := startLog(t)
	n := startNode(t, nodeSettings(l, "n1"))
	n.publish(t)
	l.holdAppends()
	result := make(chan error, 1)
	go func() {
		_, err := pb.NewConfigServiceClient(n.dial(t, nil)).PutService(context.Background(), &pb.PutServiceRequest{
			Service: &pb.Service{Name: "b"},
		})
		result <- err
	}()
	eventually(t, "the append is under way", func() bool { return l.waiting.Load() > 0 })
	n.stop()
	eventually(t, "the operator listener is closed", func() bool { return !listening(n.settings.Listen.Operator) })
	l.releaseAppends()
	assert.NilError(t, <-result)
	assert.NilError(t, n.waitEnd(t))
}
