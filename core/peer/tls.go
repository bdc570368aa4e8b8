package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// ErrNoCACertificate is returned by TLSFiles.Load if the file of the certificate
// authority holds no certificate.
var ErrNoCACertificate = merry.Sentinel("peer: certificate authority file contains no certificate")

// TLSFiles are the paths of the PEM files of mutual TLS. Either all are set or
// none is.
type TLSFiles struct {
	// Certificate is the certificate of this process.
	Certificate string
	// Key is the private key of the certificate.
	Key string
	// Authority is the certificate of the authority that signs those of all
	// members.
	Authority string
}

// Load returns the TLS configuration for both sides of a connection, or nil if no
// file is set. Peers are called by IP address, which their certificates do not
// contain. A peer is a member if its certificate is signed by the authority; a
// server's certificate must also contain MemberDNSName. Load returns
// ErrNoCACertificate, or the reason why a file cannot be used.
func (f TLSFiles) Load() (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, merry.Prepend(err, "peer: load certificate and key")
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, merry.Prepend(err, "peer: read certificate authority file")
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

// MemberDNSName is the DNS name in the certificate of every member.
const MemberDNSName = "acaciapath-member"
