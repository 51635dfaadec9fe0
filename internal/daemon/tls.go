package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// TLSFiles names the PEM files of a daemon's certificate, its key and the
// authority that signed the certificates of the fleet.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// reloadInterval is how often the files are looked at for new certificates.
const reloadInterval = 10 * time.Second

// peerTLS serves mutual TLS for sessions from files that may be replaced while
// the daemon runs.
type peerTLS struct {
	files TLSFiles

	mu     sync.Mutex
	loaded time.Time
	cert   tls.Certificate
	roots  *x509.CertPool
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
		return errors.Wrap(err, "load the peer certificate")
	}
	pem, err := os.ReadFile(p.files.CA)
	if err != nil {
		return errors.Wrap(err, "load the peer authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s has no certificate", p.files.CA)
	}
	p.cert, p.roots, p.loaded = cert, roots, time.Now()
	return nil
}

// current returns the certificates, reloaded when they are older than
// reloadInterval. Files that cannot be read leave the loaded ones in use, so a
// rotation that is half done does no harm.
func (p *peerTLS) current() (tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.loaded) > reloadInterval {
		if p.load() != nil {
			p.loaded = time.Now()
		}
	}
	return p.cert, p.roots
}

func (p *peerTLS) server() *tls.Config {
	cert, roots := p.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
	}
}

// client accepts any certificate that the fleet's authority signed: hosts are
// reached by IP address and are replaced often, so names are not checked.
func (p *peerTLS) client() *tls.Config {
	cert, roots := p.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		InsecureSkipVerify: true, //nolint:gosec // Replaced by verifyChain.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, roots) },
	}
}

func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
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
