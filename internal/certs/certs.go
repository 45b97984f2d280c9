// Package certs issues the certificates with which the daemons of a fleet authenticate each other.
package certs

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
	"time"

	"github.com/samber/oops"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Authority is the certificate authority of a fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

const (
	certificateFileMode = 0o644
	keyFileMode         = 0o600
)

// NewAuthority creates a certificate authority that is valid from an hour before now until validity has passed.
func NewAuthority(now time.Time, validity time.Duration) (a *Authority, err error) {
	defer func() { err = oops.In("certs").Wrapf(err, "create the certificate authority") }()
	a = &Authority{}
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serialNumber(),
		Subject:               pkix.Name{CommonName: "comfreylink fleet"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	a.certificate, err = x509.ParseCertificate(der)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a, err
}

// WriteAuthority writes the certificate of the authority to ca.pem in a directory and returns its path.
func (a *Authority) WriteAuthority(dir string) (caFile string, err error) {
	caFile = filepath.Join(dir, "ca.pem")
	return caFile, os.WriteFile(caFile, a.pem, certificateFileMode)
}

// Issue creates a certificate and a key for an instance, writes them to ID.pem and ID.key in a directory and returns the
// paths. The certificate expires together with that of the authority.
func (a *Authority) Issue(now time.Time, dir string, id ids.InstanceID) (certFile, keyFile string, err error) {
	defer func() { err = oops.In("certs").With("instance", id).Wrapf(err, "issue a certificate") }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := &x509.Certificate{
		SerialNumber: serialNumber(),
		Subject:      pkix.Name{CommonName: string(id)},
		DNSNames:     []string{string(id)},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     a.certificate.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile = filepath.Join(dir, fmt.Sprintf("%s.pem", id))
	keyFile = filepath.Join(dir, fmt.Sprintf("%s.key", id))
	if err = writePEM(certFile, "CERTIFICATE", der, certificateFileMode); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(keyFile, "EC PRIVATE KEY", raw, keyFileMode)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

func serialNumber() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), 127)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return big.NewInt(time.Now().UnixNano())
	}
	return n
}
