package emulator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Authority signs certificates for the ends of a tier, as an operator's would.
type Authority struct {
	File string // its own certificate, in PEM
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	last atomic.Int64 // serial number given
}

// NewAuthority makes an authority that keeps its files in a directory.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("an authority's key: %w", err)
	}
	a := &Authority{File: filepath.Join(dir, "authority.pem"), dir: dir, key: key}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1 << 40), Subject: pkix.Name{CommonName: "stand-in"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	text, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("an authority's certificate: %w", err)
	}
	return a, write(a.File, "CERTIFICATE", text)
}

// Issue signs a certificate for a DNS name, good for both ends of a connection, and
// returns the names of its files.
func (a *Authority) Issue(name string) (cert, key string, err error) {
	n := a.last.Add(1)
	base := filepath.Join(a.dir, fmt.Sprintf("%s-%d", name, n))
	cert, key = base+".pem", base+".key"
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("a certificate's key: %w", err)
	}
	text, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(n), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &own.PublicKey, a.key)
	if err != nil {
		return "", "", fmt.Errorf("a certificate: %w", err)
	}
	der, err := x509.MarshalECPrivateKey(own)
	if err != nil {
		return "", "", fmt.Errorf("a certificate's key: %w", err)
	}
	if err := write(key, "EC PRIVATE KEY", der); err != nil {
		return "", "", err
	}
	return cert, key, write(cert, "CERTIFICATE", text)
}

func write(file, kind string, der []byte) error {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return fmt.Errorf("writing a certificate: %w", err)
	}
	return nil
}
