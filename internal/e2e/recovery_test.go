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

// Guards against money that stays in the grant of a dead router, and against
// spend of the dead router that is forgotten.
func TestGrantsOfDeadRouterReturn(t *testing.T) {
	f := newFleet(t, 2, 1)
	m := &pb.GenerateRequest{Service: "tutor-model", Prompt: "tag this drill tokens=10", MaxOutputTokens: 10}
	var charged int64
	for range 3 {
		a := f.generate(context.Background(), 0, m, nil)
		require.NoError(t, a.err)
		charged += a.finished.Charged
	}
	require.NotEmpty(t, f.budget(1).Grants)
	f.killRouter(0)
	waitFor(t, "the grant of the dead router to return", func() bool {
		b := f.budget(1)
		for _, g := range b.Grants {
			if g.Holder == "router-0" {
				return false
			}
		}
		return b.Settled == charged
	})
	require.Zero(t, f.budget(1).Withheld)
}

// killRouter ends a router and lets the platform's list drop its host.
func (f *fleet) killRouter(i int) {
	f.routers[i].Kill()
	f.platform.SetMember(fake.Member{Host: fmt.Sprintf("router-%d", i), Gone: true})
}

// Guards against operators who overwrite each other's configuration.
func TestRacingOperatorsLoserGetsDiff(t *testing.T) {
	f := newFleet(t, 2, 1)
	get := func(router int) *pb.GetConfigResponse {
		r, err := f.operator(router).GetConfig(context.Background(), withKey(operatorKey, &pb.GetConfigRequest{}))
		require.NoError(t, err)
		return r.Msg
	}
	base := get(0)
	f.apply(base.Yaml+"    weight: 2\n", base.Generation)
	_, err := f.operator(1).ApplyConfig(context.Background(), withKey(operatorKey, &pb.ApplyConfigRequest{
		Yaml: base.Yaml + "    weight: 3\n", ExpectedGeneration: base.Generation,
	}))
	require.ErrorContains(t, err, "generation 2 is stored")
	require.Contains(t, get(1).Yaml, "weight: 2")
}

// Guards against an accepted configuration that is reported as failed, or
// stored twice, when the platform's answer is lost after the write.
func TestLostAnswerOfApplyIsResolved(t *testing.T) {
	f := newFleet(t, 1, 1)
	base, err := f.operator(0).GetConfig(context.Background(), withKey(operatorKey, &pb.GetConfigRequest{}))
	require.NoError(t, err)
	f.platform.SetFaults(fake.PlatformFaults{LoseAnswersOfKind: "config"})
	f.apply(base.Msg.Yaml+"    weight: 2\n", base.Msg.Generation)
	f.platform.SetFaults(fake.PlatformFaults{})
	waitFor(t, "generation 2", func() bool { return f.status(0).Generation == 2 })
}

// Guards against peers outside the fleet: no certificate, or one of another
// authority, must not open a session.
func TestPeerPortTakesOnlyTheFleet(t *testing.T) {
	dir := t.TempDir()
	own := newAuthority(t, dir, "own")
	files := own.issue(t, "daemon")
	f := &fleet{t: t, platform: fake.NewPlatform(fake.PlatformConfig{}), engines: map[string]*fake.Engine{}}
	f.url = f.serve(f.platform)
	t.Cleanup(f.platform.Close)
	t.Cleanup(f.stop)
	secure := func(o daemon.Options) *daemon.Daemon {
		o.TLS = &files
		return f.start(o)
	}
	a := f.options(table.RoleAgent, "agent-0")
	f.agents = append(f.agents, secure(a))
	f.routers = append(f.routers, secure(f.options(table.RoleRouter, "router-0")))
	waitFor(t, "a session with mutual TLS", func() bool {
		for _, p := range f.status(0).Processes {
			if p.Id == "agent-0" && p.State == "live" {
				return true
			}
		}
		return false
	})

	address := f.agents[0].PeerAddress()
	stranger := newAuthority(t, dir, "stranger").issue(t, "daemon")
	cert, err := tls.LoadX509KeyPair(stranger.Cert, stranger.Key)
	require.NoError(t, err)
	for name, certs := range map[string][]tls.Certificate{"none": nil, "stranger": {cert}} {
		conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, Certificates: certs})
		if err == nil {
			// With TLS 1.3 the refusal arrives with the first read.
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
			_, err = conn.Read(make([]byte, 1))
			conn.Close()
		}
		require.Error(t, err, name)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%s: the connection was left open", name)
	}
}

// authority signs certificates for tests.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T, dir, name string) *authority {
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
	a := &authority{dir: filepath.Join(dir, name), cert: cert, key: key}
	require.NoError(t, os.Mkdir(a.dir, 0o700))
	a.file = a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func (a *authority) issue(t *testing.T, name string) daemon.TLSFiles {
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
		CA:   a.file,
	}
}
