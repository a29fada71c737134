// Package mtls reads what the ends of a connection between a node's own kind show each
// other: every end has a certificate, and believes one authority.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Files name what an end shows and what it believes, in PEM.
type Files struct {
	Certificate, Key string // of this node
	Authorities      string // whose certificates are believed
}

// Load reads the files into what both ends use. Whoever dials takes no other certificate of
// the authority than one that holds the server's DNS name.
func (f Files) Load(server string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", f.Certificate, f.Key, err)
	}
	text, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, fmt.Errorf("authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authorities: %s holds no certificate in PEM", f.Authorities)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		RootCAs: pool, ServerName: server,
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}
