package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// ErrNoCACertificate is returned for a certificate authority file without
// certificates.
var ErrNoCACertificate = merry.Sentinel("peer: no certificate in the authority file")

// TLSFiles are the PEM files of mutual TLS. Either all are set or none is.
type TLSFiles struct {
	// Certificate is the process's own certificate.
	Certificate string
	// Key is the private key of the certificate.
	Key string
	// Authority is the certificate that signed those of all members.
	Authority string
}

// Load returns the TLS configuration for both sides of a connection, or nil if
// no file is set. Peers are known by IP number, so that the authority alone
// decides who is a member. It returns ErrAuthority, or why a file cannot be used.
func (f TLSFiles) Load() (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, merry.Prepend(err, "peer: certificate and key")
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, merry.Prepend(err, "peer: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, merry.Wrap(ErrNoCACertificate, merry.WithValue("file", f.Authority))
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   MemberDNSName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// MemberDNSName is the DNS name that every member's certificate holds.
const MemberDNSName = "acaciapath-member"
