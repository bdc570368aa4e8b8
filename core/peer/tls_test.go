package peer_test

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

	"acaciapath.example/core/peer"

	qt "github.com/frankban/quicktest"
)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	c.Assert(err, qt.IsNil)
	certificate, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return authority{certificate: certificate, key: key}
}

// files writes the files of a member that trusts the authority trusted. Its
// certificate is signed by a and contains the DNS name name.
func (a authority) files(c *qt.C, name string, trusted authority) peer.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	directory := c.TempDir()
	write := func(file, kind string, data []byte) string {
		path := filepath.Join(directory, file)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600), qt.IsNil)
		return path
	}
	return peer.TLSFiles{
		Certificate: write("certificate.pem", "CERTIFICATE", der),
		Key:         write("key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   write("authority.pem", "CERTIFICATE", trusted.certificate.Raw),
	}
}

// TestOnlyMembers checks that a peers' port answers only members, and that a
// member calls only members.
func TestOnlyMembers(t *testing.T) {
	c := qt.New(t)
	own, other := newAuthority(c), newAuthority(c)
	load := func(files peer.TLSFiles) *tls.Config {
		config, err := files.Load()
		c.Assert(err, qt.IsNil)
		return config
	}
	serve := func(config *tls.Config) string {
		server, err := peer.Listen("127.0.0.1:0", config, echo{"a"}, heartbeat)
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = server.Close() })
		return server.Address()
	}
	call := func(address string, config *tls.Config) error {
		client := peer.NewClient(address, config)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := client.Heartbeat(ctx, peer.Heartbeat{})
		return err
	}
	member := load(own.files(c, peer.MemberDNSName, own))
	withoutCertificate := member.Clone()
	withoutCertificate.Certificates = nil
	address := serve(member)
	for name, test := range map[string]struct {
		address  string
		config   *tls.Config
		rejected bool
	}{
		"member":                           {address, member, false},
		"certificate of another authority": {address, load(other.files(c, peer.MemberDNSName, own)), true},
		"no certificate":                   {address, withoutCertificate, true},
		"without TLS":                      {address, nil, true},
		"server of another authority":      {serve(load(other.files(c, peer.MemberDNSName, own))), member, true},
		"server without the members' name": {serve(load(own.files(c, "other", own))), member, true},
		"server without TLS":               {listen(t, "plain").Address(), member, true},
	} {
		c.Run(name, func(c *qt.C) {
			c.Check(call(test.address, test.config) != nil, qt.Equals, test.rejected)
		})
	}
}

// TestListenWithoutTLS checks that a port without TLS is bound to a loopback
// address only.
func TestListenWithoutTLS(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "[::]:0", "192.0.2.1:0", ":0", "localhost:0"} {
		_, err := peer.Listen(address, nil, echo{})
		qt.Check(t, err, qt.ErrorIs, peer.ErrTLSRequired)
	}
}
