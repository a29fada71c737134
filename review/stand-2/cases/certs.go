package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

// authority is a certificate authority of one installation.
type authority struct {
	e      *env
	name   string
	file   string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func (e *env) pem(name, kind string, der []byte) string {
	return e.file(name, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
}

func must[T any](v T, err error) T {
	if err != nil {
		fail("%v", err)
	}
	return v
}

func (e *env) newAuthority(name string) *authority {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1 << 40), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key))
	return &authority{e: e, name: name, file: e.pem(name+".pem", "CERTIFICATE", der), cert: cert, key: key}
}

// tables returns the three lines of a file that name a new certificate for a DNS name.
func (a *authority) lines(dns string) string {
	a.serial++
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	der := must(x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: dns}, DNSNames: []string{dns},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key))
	base := fmt.Sprintf("%s-%d", a.name, a.serial)
	cert := a.e.pem(base+".pem", "CERTIFICATE", der)
	keyFile := a.e.pem(base+".key", "EC PRIVATE KEY", must(x509.MarshalECPrivateKey(key)))
	return fmt.Sprintf("certificate = %q\nkey = %q\nauthorities = %q\n", cert, keyFile, a.file)
}
