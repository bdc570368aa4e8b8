package daemons_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"acaciapath.example/acaciapath/daemons"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"

	qt "github.com/frankban/quicktest"
)

// certificateAuthority signs certificates of members and stores them in dir.
type certificateAuthority struct {
	c           *qt.C
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(c *qt.C) *certificateAuthority {
	a := &certificateAuthority{c: c, dir: c.TempDir()}
	a.key, a.certificate = a.sign("authority", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign creates a certificate from the template and a key, and writes them to files named
// after name in the directory.
func (a *certificateAuthority) sign(name string, template *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template.SerialNumber = big.NewInt(1)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := template, key
	if a.certificate != nil {
		parent, signer = a.certificate, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	a.c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+"-key.pem", "PRIVATE KEY", private)
	certificate, err := x509.ParseCertificate(der)
	a.c.Assert(err, qt.IsNil)
	return key, certificate
}

func (a *certificateAuthority) write(name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.c.Assert(os.WriteFile(filepath.Join(a.dir, name), text, 0o600), qt.IsNil)
}

// memberConfig returns the TLS configuration of a member with a new certificate for the
// DNS name.
func (a *certificateAuthority) memberConfig(name, dns string) *tls.Config {
	a.sign(name, &x509.Certificate{
		DNSNames:    []string{dns},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	path := func(file string) string { return filepath.Join(a.dir, file) }
	config, err := peer.TLSFiles{
		Certificate: path(name + ".pem"), Key: path(name + "-key.pem"), Authority: path("authority.pem"),
	}.Load()
	a.c.Assert(err, qt.IsNil)
	return config
}

// statusOnlyDaemon is a daemon that reports only its name.
type statusOnlyDaemon struct{}

func (statusOnlyDaemon) Status(context.Context) (peer.Status, error) {
	return peer.Status{Name: "vm"}, nil
}

func (statusOnlyDaemon) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return peer.ConfigHead{}, nil
}

func (statusOnlyDaemon) GetConfig(context.Context, peer.ConfigRequest) (peer.ConfigContent, error) {
	return peer.ConfigContent{}, nil
}

// TestDaemonAnswersOnlyMembers queries a daemon with different client certificates: only a
// certificate of its own authority may get an answer.
func TestDaemonAnswersOnlyMembers(t *testing.T) {
	c := qt.New(t)
	own, foreign := newAuthority(c), newAuthority(c)
	server, err := peer.Listen("127.0.0.1:0", own.memberConfig("daemon", peer.MemberDNSName), statusOnlyDaemon{})
	c.Assert(err, qt.IsNil)
	defer server.Close()
	noCertificate := own.memberConfig("without", peer.MemberDNSName)
	noCertificate.Certificates = nil
	for _, test := range []struct {
		name     string
		config   *tls.Config
		answered bool
	}{
		{"member", own.memberConfig("operator", peer.MemberDNSName), true},
		{"no TLS", nil, false},
		{"no certificate", noCertificate, false},
		{"other authority", foreign.memberConfig("operator", peer.MemberDNSName), false},
	} {
		c.Run(test.name, func(c *qt.C) {
			answers := daemons.QueryStatus(context.Background(), []daemons.Daemon{{Address: server.Address()}}, test.config)
			c.Assert(answers[0].Status != nil, qt.Equals, test.answered, qt.Commentf(answers[0].Error))
			c.Assert(answers[0].Error == "", qt.Equals, test.answered)
		})
	}
}

func TestFromVMs(t *testing.T) {
	c := qt.New(t)
	got := daemons.FromVMs([]*vms.VM{
		{Name: "b", FailureDomain: "quito-a", Address: "10.0.0.2", PeerPort: 1, ControlPort: 2},
		{Name: "a", FailureDomain: "quito-a", Address: "10.0.0.1", PeerPort: 1},
	})
	c.Assert(got, qt.DeepEquals, []daemons.Daemon{
		{VM: "a", Role: peer.RoleEntry, FailureDomain: "quito-a", Address: "10.0.0.1:1"},
		{VM: "b", Role: peer.RoleEntry, FailureDomain: "quito-a", Address: "10.0.0.2:1"},
		{VM: "b", Role: peer.RoleControl, FailureDomain: "quito-a", Address: "10.0.0.2:2"},
	})
}
