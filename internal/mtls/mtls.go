// Package mtls loads the credentials for mutual TLS between the instances of an installation. Both ends have a
// certificate of one authority and accept no other.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Files are the paths of an instance's credentials, in PEM.
type Files struct {
	Certificate, Key string // of this instance
	Authorities      string // whose certificates are accepted
}

// Load reads the files into a configuration for servers and clients. A client accepts only a server whose
// certificate holds the DNS name serverName.
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
		return nil, fmt.Errorf("reading the authorities: %s holds no certificate in PEM", f.Authorities)
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
