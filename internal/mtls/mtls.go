// Package mtls loads the credentials for mutual TLS between the instances of an installation. Both ends of a connection
// present a certificate, and accept only certificates signed by the installation's authorities.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Files has the paths of an instance's credentials, in PEM.
type Files struct {
	Certificate, Key string // of this instance
	Authorities      string // the CA certificates that sign the certificates of peers
}

// Load reads the files and returns a TLS configuration for servers and clients. A client accepts only a server whose
// certificate contains the DNS name serverName.
func (f Files) Load(serverName string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("loading certificate %s with key %s: %w", f.Certificate, f.Key, err)
	}
	text, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, fmt.Errorf("reading the authorities: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("reading the authorities: no PEM certificate in %s", f.Authorities)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
		ServerName:   serverName,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
