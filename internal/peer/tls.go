package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Credentials holds the certificate of this instance and the certificate authority of the fleet.
type Credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadCredentials reads PEM files. The certificate must name the instance id as its first DNS name.
func LoadCredentials(caFile, certFile, keyFile string) (c Credentials, err error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return Credentials{}, fmt.Errorf("read the fleet's certificate authority: %w", err)
	}
	c.authority = x509.NewCertPool()
	if !c.authority.AppendCertsFromPEM(ca) {
		return Credentials{}, fmt.Errorf("%s holds no PEM certificate", caFile)
	}
	if c.certificate, err = tls.LoadX509KeyPair(certFile, keyFile); err != nil {
		return Credentials{}, fmt.Errorf("load the instance's certificate: %w", err)
	}
	return c, nil
}

// serverConfig requires every client to have a certificate of the fleet's authority.
func (c Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ClientCAs:    c.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// clientConfig accepts only a server whose certificate names the dialed instance.
func (c Credentials) clientConfig(to ids.InstanceID) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.authority,
		ServerName:   string(to),
	}
}

// identity returns the instance that the other side's certificate names.
func identity(c *tls.Conn) (id ids.InstanceID, err error) {
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 || len(certs[0].DNSNames) == 0 {
		return "", errors.New("the peer's certificate names no instance")
	}
	return ids.InstanceID(certs[0].DNSNames[0]), nil
}

// deadlineConn sets a deadline for every write, so that a peer that stopped reading cannot block a writer.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements io.Writer.
func (c deadlineConn) Write(p []byte) (n int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
