package tlsconfig

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
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"
)

// authority is a certificate authority of a test.
type authority struct {
	t          *testing.T
	dir        string
	name       string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
}

// newAuthority returns an authority and writes its certificate to "<name>.pem".
func newAuthority(t *testing.T, dir, name string) *authority {
	a := &authority{t: t, dir: dir, name: name, lastSerial: 1}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	writePEM(t, a.file(name+".pem"), "CERTIFICATE", der)
	return a
}

// file returns the path of a file in the authority's directory.
func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// issue writes a certificate for a DNS name to "<file>.pem" and its key to "<file>.key".
func (a *authority) issue(file, dnsName string) (cert, key string) {
	a.lastSerial++
	private := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial), DNSNames: []string{dnsName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, key = a.file(file+".pem"), a.file(file+".key")
	writePEM(a.t, cert, "CERTIFICATE", der)
	writePEM(a.t, key, "EC PRIVATE KEY", encoded)
	return cert, key
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// writePEM writes a PEM file. A replaced file gets a later modification time, so that a
// reload detects the change.
func writePEM(t *testing.T, file, kind string, der []byte) {
	modified := time.Unix(1_700_000_000, 0)
	if info, err := os.Stat(file); err == nil {
		modified = info.ModTime().Add(time.Second)
	}
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, modified, modified); err != nil {
		t.Fatal(err)
	}
}

// load loads valid settings.
func load(t *testing.T, s Settings) *Material {
	t.Helper()
	s.Reload = time.Second
	m, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// connectionPair returns the two ends of a loopback connection.
func connectionPair() (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		panic(err)
	}
	far, err = listener.Accept()
	if err != nil {
		panic(err)
	}
	return near, far
}

// handshake runs a TLS handshake between a client and a server and returns the serial
// number of the server's certificate.
func handshake(server, client *tls.Config) (int64, error) {
	near, far := connectionPair()
	defer near.Close()
	defer far.Close()
	accepted := make(chan error, 1)
	go func() {
		s := tls.Server(far, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		far.Close()
		accepted <- err
	}()
	c := tls.Client(near, client)
	err := c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	near.Close()
	if serverErr := <-accepted; serverErr != nil {
		return 0, errors.Join(serverErr, err)
	}
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestReplacedCertificatesAreReloaded(t *testing.T) {
	a := newAuthority(t, t.TempDir(), "ca")
	cert, key := a.issue("caller", "hawthorntack-upstream")
	m := load(t, Settings{CallerCert: cert, CallerKey: key, UpstreamCA: a.file("ca.pem"), UpstreamName: "hawthorntack-upstream"})
	if serial, err := handshake(m.Caller, m.Upstream); err != nil || serial != 2 {
		t.Fatalf("serial %d, %v; want 2", serial, err)
	}
	a.issue("caller", "hawthorntack-upstream")
	if changed, errs := m.Reload(); changed != 1 || len(errs) != 0 {
		t.Errorf("reload: %d changed, %v", changed, errs)
	}
	if serial, err := handshake(m.Caller, m.Upstream); err != nil || serial != 3 {
		t.Errorf("serial %d, %v; want 3", serial, err)
	}
	if changed, errs := m.Reload(); changed != 0 || len(errs) != 0 {
		t.Errorf("reload without a replaced file: %d changed, %v", changed, errs)
	}
	writePEM(t, cert, "CERTIFICATE", []byte("half written"))
	var setting *SettingError
	if changed, errs := m.Reload(); changed != 0 || len(errs) != 1 || !errors.As(errs[0], &setting) || setting.Setting != "--caller-cert" {
		t.Errorf("reload of a malformed file: %d changed, %v", changed, errs)
	}
	if serial, err := handshake(m.Caller, m.Upstream); err != nil || serial != 3 {
		t.Errorf("after a malformed file: serial %d, %v; want 3", serial, err)
	}
	newAuthority(t, a.dir, "ca")
	if changed, errs := m.Reload(); changed != 1 || len(errs) != 1 {
		t.Errorf("reload of the authority: %d changed, %v", changed, errs)
	}
	if _, err := handshake(m.Caller, m.Upstream); err == nil {
		t.Error("a certificate of the replaced authority is accepted")
	}
}

func TestNodesAuthenticateEachOther(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := newAuthority(t, dir, "ours"), newAuthority(t, dir, "theirs")
	peer := func(a *authority, file, name string) *Material {
		cert, key := a.issue(file, name)
		return load(t, Settings{PeerCert: cert, PeerKey: key, PeerCA: ours.file("ours.pem"), PeerName: "node"})
	}
	good := peer(ours, "good", "node")
	for _, c := range []struct {
		name   string
		client *Material
		want   bool
	}{
		{"a node", peer(ours, "other", "node"), true},
		{"a certificate for another role", peer(ours, "role", "upstream"), false},
		{"a certificate of another authority", peer(theirs, "foreign", "node"), false},
	} {
		err := connect(good.PeerServer, c.client.PeerClient)
		if got := err == nil; got != c.want {
			t.Errorf("%s as a client is accepted: %t (%v), want %t", c.name, got, err, c.want)
		}
		err = connect(c.client.PeerServer, good.PeerClient)
		if got := err == nil; got != c.want {
			t.Errorf("%s as a server is accepted: %t (%v), want %t", c.name, got, err, c.want)
		}
	}
	if err := connect(good.PeerServer, credentials.NewTLS(&tls.Config{InsecureSkipVerify: true})); err == nil {
		t.Error("a client without a certificate is accepted")
	}
}

// connect runs a TLS handshake between two gRPC credentials.
func connect(server, client credentials.TransportCredentials) error {
	near, far := connectionPair()
	defer near.Close()
	defer far.Close()
	accepted := make(chan error, 1)
	go func() {
		connection, _, err := server.ServerHandshake(far)
		if err == nil {
			_, err = connection.Write([]byte("x"))
		}
		far.Close()
		accepted <- err
	}()
	connection, _, err := client.ClientHandshake(context.Background(), "10.0.0.1:1", near)
	if err == nil {
		_, err = connection.Read(make([]byte, 1))
	}
	near.Close()
	return errors.Join(err, <-accepted)
}

func TestInvalidSettingsAreNamed(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t, dir, "ca")
	cert, key := a.issue("one", "x")
	_, otherKey := a.issue("two", "x")
	empty := filepath.Join(dir, "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		settings Settings
		want     string
	}{
		{Settings{CallerCert: cert}, "--caller-key"},
		{Settings{AdminKey: key}, "--admin-cert"},
		{Settings{PeerCert: cert, PeerKey: key}, "--peer-ca"},
		{Settings{PeerCert: cert, PeerKey: key, PeerCA: cert}, "--peer-name"},
		{Settings{UpstreamCert: cert, UpstreamKey: key}, "--upstream-ca"},
		{Settings{UpstreamCA: cert}, "--upstream-name"},
		{Settings{CallerCert: filepath.Join(dir, "none"), CallerKey: key}, "--caller-cert"},
		{Settings{AdminCert: cert, AdminKey: otherKey}, "--admin-cert"},
		{Settings{UpstreamCA: empty, UpstreamName: "x"}, "--upstream-ca"},
		{Settings{Reload: time.Millisecond}, "--cert-reload"},
	} {
		if c.settings.Reload == 0 {
			c.settings.Reload = time.Second
		}
		var setting *SettingError
		if _, err := c.settings.Load(); !errors.As(err, &setting) || setting.Setting != c.want {
			t.Errorf("%+v: got %v, want a SettingError for %s", c.settings, err, c.want)
		}
	}
}
