package e2e

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/daemon"
	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against tokens that stay in the grant of a dead router, and against losing the
// charges of the dead router.
func TestGrantsOfDeadRouterAreReclaimed(t *testing.T) {
	f := newFleet(t, 2, 1)
	req := &pb.GenerateRequest{Service: "tutor-model", Prompt: "tag this drill tokens=10", MaxOutputTokens: 10}
	var charged int64
	for range 3 {
		result := f.generate(context.Background(), 0, req, nil)
		require.NoError(t, result.err)
		charged += result.finished.Charged
	}
	require.NotEmpty(t, f.collegeBudget(1).Grants)
	f.killRouter(0)
	waitFor(t, "the grant of the dead router to be reclaimed", func() bool {
		budget := f.collegeBudget(1)
		for _, grant := range budget.Grants {
			if grant.Holder == "router-0" {
				return false
			}
		}
		return budget.Settled == charged
	})
	require.Zero(t, f.collegeBudget(1).Withheld)
}

// killRouter kills a router and removes its host from the platform's membership list.
func (f *fleet) killRouter(i int) {
	f.routers[i].Kill()
	f.platform.SetMember(fake.Member{Host: fmt.Sprintf("router-%d", i), Gone: true})
}

// Guards against operators that overwrite each other's configuration updates.
func TestConcurrentConfigUpdateIsRejected(t *testing.T) {
	f := newFleet(t, 2, 1)
	getConfig := func(router int) *pb.GetConfigResponse {
		resp, err := f.operatorClient(router).GetConfig(context.Background(), newRequest(operatorKey, &pb.GetConfigRequest{}))
		require.NoError(t, err)
		return resp.Msg
	}
	base := getConfig(0)
	f.applyConfig(base.Yaml+"    weight: 2\n", base.Generation)
	_, err := f.operatorClient(1).ApplyConfig(context.Background(), newRequest(operatorKey, &pb.ApplyConfigRequest{
		Yaml: base.Yaml + "    weight: 3\n", ExpectedGeneration: base.Generation,
	}))
	require.ErrorContains(t, err, "generation 2 is stored")
	require.Contains(t, getConfig(1).Yaml, "weight: 2")
}

// Guards against a configuration that is stored but reported as failed, or stored
// twice, when the platform's response is lost after the write.
func TestConfigUpdateWithLostResponseSucceeds(t *testing.T) {
	f := newFleet(t, 1, 1)
	base, err := f.operatorClient(0).GetConfig(context.Background(), newRequest(operatorKey, &pb.GetConfigRequest{}))
	require.NoError(t, err)
	f.platform.SetFaults(fake.PlatformFaults{LoseResponsesOfKind: "config"})
	f.applyConfig(base.Msg.Yaml+"    weight: 2\n", base.Msg.Generation)
	f.platform.SetFaults(fake.PlatformFaults{})
	waitFor(t, "generation 2", func() bool { return f.status(0).Generation == 2 })
}

// Guards against sessions with peers outside the fleet: those without a certificate or
// with one of another certificate authority.
func TestPeerPortRequiresFleetCertificate(t *testing.T) {
	dir := t.TempDir()
	fleetCA := newCertAuthority(t, dir, "fleet")
	files := fleetCA.issue(t, "daemon")
	f := &fleet{t: t, platform: fake.NewPlatform(fake.PlatformConfig{}), engines: map[string]*fake.Engine{}}
	f.platformURL = f.serveHTTP(f.platform)
	t.Cleanup(f.platform.Close)
	t.Cleanup(f.killDaemons)
	startWithTLS := func(opts daemon.Options) *daemon.Daemon {
		opts.TLS = &files
		return f.startDaemon(opts)
	}
	agentOptions := f.daemonOptions(table.RoleAgent, "agent-0")
	f.agents = append(f.agents, startWithTLS(agentOptions))
	f.routers = append(f.routers, startWithTLS(f.daemonOptions(table.RoleRouter, "router-0")))
	waitFor(t, "a session with mutual TLS", func() bool {
		for _, p := range f.status(0).Processes {
			if p.Id == "agent-0" && p.State == "live" {
				return true
			}
		}
		return false
	})

	address := f.agents[0].PeerAddress()
	foreignFiles := newCertAuthority(t, dir, "other").issue(t, "daemon")
	cert, err := tls.LoadX509KeyPair(foreignFiles.Cert, foreignFiles.Key)
	require.NoError(t, err)
	for name, certs := range map[string][]tls.Certificate{"no certificate": nil, "certificate of another CA": {cert}} {
		conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, Certificates: certs})
		if err == nil {
			// With TLS 1.3, the client only learns of the rejection on the first read.
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = conn.Read(make([]byte, 1))
			conn.Close()
		}
		require.Error(t, err, name)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%s: the connection was not closed", name)
	}
}

// certAuthority is a certificate authority for tests. It writes its files to dir.
type certAuthority struct {
	dir      string
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	certFile string
}

func newCertAuthority(t *testing.T, dir, name string) *certAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &certAuthority{dir: filepath.Join(dir, name), cert: cert, key: key}
	require.NoError(t, os.Mkdir(a.dir, 0o700))
	a.certFile = a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *certAuthority) write(t *testing.T, name, blockType string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return path
}

func (a *certAuthority) issue(t *testing.T, name string) daemon.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return daemon.TLSFiles{
		Cert: a.write(t, name+".pem", "CERTIFICATE", der),
		Key:  a.write(t, name+".key", "EC PRIVATE KEY", keyDER),
		CA:   a.certFile,
	}
}
