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

// Authority is a certificate authority for the clients and servers of mutual TLS. It is safe for concurrent use.
type Authority struct {
	File       string // path of its certificate, in PEM
	dir        string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial atomic.Int64 // serial number of the last certificate
}

// NewAuthority creates an authority that stores all files in dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generating an authority's key: %w", err)
	}
	a := &Authority{File: filepath.Join(dir, "authority.pem"), dir: dir, key: key}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1 << 40), Subject: pkix.Name{CommonName: "stand-in"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	text, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("signing an authority's certificate: %w", err)
	}
	return a, writePEM(a.File, "CERTIFICATE", text)
}

// Issue signs a certificate for a DNS name, valid for clients and servers, and returns the paths of the certificate
// and of its private key.
func (a *Authority) Issue(name string) (cert, key string, err error) {
	n := a.lastSerial.Add(1)
	base := filepath.Join(a.dir, fmt.Sprintf("%s-%d", name, n))
	cert, key = base+".pem", base+".key"
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("generating a certificate's key: %w", err)
	}
	text, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(n), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &leafKey.PublicKey, a.key)
	if err != nil {
		return "", "", fmt.Errorf("signing a certificate: %w", err)
	}
	der, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return "", "", fmt.Errorf("encoding a certificate's key: %w", err)
	}
	if err := writePEM(key, "EC PRIVATE KEY", der); err != nil {
		return "", "", err
	}
	return cert, key, writePEM(cert, "CERTIFICATE", text)
}

// writePEM writes a PEM file with one block.
func writePEM(file, kind string, der []byte) error {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return fmt.Errorf("writing a PEM file: %w", err)
	}
	return nil
}
