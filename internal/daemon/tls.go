package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// TLSFiles holds the paths of PEM files: the daemon's certificate, its private key
// and the CA certificates that sign the fleet's certificates.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// reloadInterval is how long loaded certificates are used before the files are read
// again.
const reloadInterval = 10 * time.Second

// peerTLS provides the mutual TLS configuration of peer sessions. The files may be
// replaced while the daemon runs.
type peerTLS struct {
	files TLSFiles

	mu       sync.Mutex
	loadedAt time.Time
	cert     tls.Certificate
	roots    *x509.CertPool
}

func newPeerTLS(files TLSFiles) (*peerTLS, error) {
	p := &peerTLS{files: files}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *peerTLS) load() error {
	cert, err := tls.LoadX509KeyPair(p.files.Cert, p.files.Key)
	if err != nil {
		return errors.Wrap(err, "load the peer TLS certificate")
	}
	caPEM, err := os.ReadFile(p.files.CA)
	if err != nil {
		return errors.Wrap(err, "read the peer CA certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return errors.Errorf("no PEM certificate in %s", p.files.CA)
	}
	p.cert, p.roots, p.loadedAt = cert, roots, time.Now()
	return nil
}

// certificates returns the certificate and the CA pool, reloaded if the last load is
// older than reloadInterval. If the files cannot be loaded, for example because a
// rotation is incomplete, the previous ones stay in use.
func (p *peerTLS) certificates() (tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.loadedAt) > reloadInterval {
		if p.load() != nil {
			p.loadedAt = time.Now()
		}
	}
	return p.cert, p.roots
}

func (p *peerTLS) serverConfig() *tls.Config {
	cert, roots := p.certificates()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
	}
}

// clientConfig accepts any certificate signed by the fleet's CA. Host names are not
// verified because hosts are dialed by IP address and replaced often.
func (p *peerTLS) clientConfig() *tls.Config {
	cert, roots := p.certificates()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		InsecureSkipVerify: true, //nolint:gosec // verifyChain verifies the certificate instead.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, roots) },
	}
}

func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
