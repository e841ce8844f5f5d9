package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"google.golang.org/grpc/credentials"
)

// Material holds the TLS configurations of a node. A configuration that is nil stands
// for plain TCP.
type Material struct {
	// Caller and Admin secure the HTTP servers.
	Caller *tls.Config
	Admin  *tls.Config
	// Upstream secures connections to upstreams.
	Upstream *tls.Config
	// PeerServer and PeerClient secure the streams between nodes.
	PeerServer credentials.TransportCredentials
	PeerClient credentials.TransportCredentials

	reloadInterval time.Duration
	files          []reloader
}

// reloader is a value that can be read again from its files.
type reloader interface {
	open() error
	reload() (changed bool, err error)
}

// Load validates the settings and reads all files. It returns *SettingError.
func (s *Settings) Load() (*Material, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	m := &Material{reloadInterval: s.Reload}
	if s.CallerCert != "" {
		m.Caller = m.server(watchCertificate("--caller-cert", s.CallerCert, s.CallerKey))
	}
	if s.AdminCert != "" {
		m.Admin = m.server(watchCertificate("--admin-cert", s.AdminCert, s.AdminKey))
	}
	if s.PeerCert != "" {
		m.addPeers(s)
	}
	if s.UpstreamCA != "" {
		m.addUpstreams(s)
	}
	for _, file := range m.files {
		if err := file.open(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// addFiles adds files that Load reads and Reload reads again.
func (m *Material) addFiles(file reloader) { m.files = append(m.files, file) }

// server returns the configuration of a server that does not ask for client
// certificates.
func (m *Material) server(certificate *watchedFiles[tls.Certificate]) *tls.Config {
	m.addFiles(certificate)
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certificate.value.Load(), nil
		},
	}
}

// client returns the configuration of a client that accepts servers whose certificate is
// signed by the current authorities and contains a DNS name. VerifyConnection replaces
// the verification of crypto/tls, whose authorities cannot be changed while the process
// runs.
func (m *Material) client(authorities *watchedFiles[x509.CertPool], name string) *tls.Config {
	m.addFiles(authorities)
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		ServerName:         name,
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeerCertificate(state, authorities.value.Load(), name, x509.ExtKeyUsageServerAuth)
		},
	}
}

// addPeers configures mutual TLS between nodes.
func (m *Material) addPeers(s *Settings) {
	certificate := watchCertificate("--peer-cert", s.PeerCert, s.PeerKey)
	authorities := watchAuthorities("--peer-ca", s.PeerCA)
	server := m.server(certificate)
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAnyClientCert
	server.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyPeerCertificate(state, authorities.value.Load(), s.PeerName, x509.ExtKeyUsageClientAuth)
	}
	client := m.client(authorities, s.PeerName)
	client.MinVersion = tls.VersionTLS13
	client.GetClientCertificate = presentCertificate(certificate)
	m.PeerServer = credentials.NewTLS(server)
	m.PeerClient = credentials.NewTLS(client)
}

// addUpstreams configures TLS to upstreams.
func (m *Material) addUpstreams(s *Settings) {
	m.Upstream = m.client(watchAuthorities("--upstream-ca", s.UpstreamCA), s.UpstreamName)
	if s.UpstreamCert == "" {
		return
	}
	certificate := watchCertificate("--upstream-cert", s.UpstreamCert, s.UpstreamKey)
	m.addFiles(certificate)
	m.Upstream.GetClientCertificate = presentCertificate(certificate)
}

// presentCertificate returns a callback that returns the current client certificate.
func presentCertificate(certificate *watchedFiles[tls.Certificate]) func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return certificate.value.Load(), nil
	}
}

// VerifyError reports a peer certificate that is missing or not valid.
type VerifyError struct {
	Err error
}

// Error implements error.
func (e *VerifyError) Error() string { return "certificate not accepted: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *VerifyError) Unwrap() error { return e.Err }

// verifyPeerCertificate checks that the peer's certificate is signed by the authorities,
// contains a DNS name and permits a usage. It returns *VerifyError.
func verifyPeerCertificate(state tls.ConnectionState, authorities *x509.CertPool, name string, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &VerifyError{Err: &InvalidError{Reason: "the peer presented no certificate"}}
	}
	options := x509.VerifyOptions{
		Roots:         authorities,
		DNSName:       name,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return &VerifyError{Err: err}
	}
	return nil
}

// Reload reads replaced files. It returns the number of values that changed and the
// errors of those that could not be read; these keep their previous value.
func (m *Material) Reload() (changed int, errs []error) {
	for _, file := range m.files {
		replaced, err := file.reload()
		if err != nil {
			errs = append(errs, err)
		}
		if replaced {
			changed++
		}
	}
	return changed, errs
}

// Watch reloads replaced files at the reload interval until the context ends. It calls
// report with the number of changed values or with an error.
func (m *Material) Watch(ctx context.Context, report func(changed int, err error)) {
	if len(m.files) == 0 {
		return
	}
	ticker := time.NewTicker(m.reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, errs := m.Reload()
		for _, err := range errs {
			report(0, fmt.Errorf("reload certificates: %w", err))
		}
		if changed > 0 {
			report(changed, nil)
		}
	}
}
