package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"google.golang.org/grpc/credentials"
)

// Material holds the TLS configurations of a node; each is nil where plain TCP
// is to be used.
type Material struct {
	// Caller and Admin secure the HTTP servers.
	Caller *tls.Config
	Admin  *tls.Config
	// Upstream secures connections to upstreams.
	Upstream *tls.Config
	// PeerServer and PeerClient secure the streams between nodes.
	PeerServer credentials.TransportCredentials
	PeerClient credentials.TransportCredentials

	reload time.Duration
	files  []refresher
}

// refresher is a value that follows its files.
type refresher interface {
	open() error
	refresh() (changed bool, err error)
}

// Load reads all files; it returns *SettingError.
func (s *Settings) Load() (*Material, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m := &Material{reload: s.Reload}
	if s.CallerCert != "" {
		m.Caller = m.server(newCertificate("--caller-cert", s.CallerCert, s.CallerKey))
	}
	if s.AdminCert != "" {
		m.Admin = m.server(newCertificate("--admin-cert", s.AdminCert, s.AdminKey))
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

// watch adds files that are to be followed.
func (m *Material) watch(file refresher) { m.files = append(m.files, file) }

// server returns the configuration of a server that knows its clients by other
// means.
func (m *Material) server(certificate *watched[tls.Certificate]) *tls.Config {
	m.watch(certificate)
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certificate.value.Load(), nil
		},
	}
}

// client returns the configuration of a client that accepts servers whose
// certificate is signed by the authorities in force and holds a name. The
// verification of package tls is replaced, not left out: its authorities could
// not be changed while the process runs.
func (m *Material) client(authorities *watched[x509.CertPool], name string) *tls.Config {
	m.watch(authorities)
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		ServerName:         name,
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, authorities.value.Load(), name, x509.ExtKeyUsageServerAuth)
		},
	}
}

// addPeers makes the mutual TLS between nodes.
func (m *Material) addPeers(s *Settings) {
	certificate := newCertificate("--peer-cert", s.PeerCert, s.PeerKey)
	authorities := newAuthorities("--peer-ca", s.PeerCA)
	server := m.server(certificate)
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAnyClientCert
	server.VerifyConnection = func(state tls.ConnectionState) error {
		return verify(state, authorities.value.Load(), s.PeerName, x509.ExtKeyUsageClientAuth)
	}
	client := m.client(authorities, s.PeerName)
	client.MinVersion = tls.VersionTLS13
	client.GetClientCertificate = present(certificate)
	m.PeerServer = credentials.NewTLS(server)
	m.PeerClient = credentials.NewTLS(client)
}

// addUpstreams makes the configuration for upstreams.
func (m *Material) addUpstreams(s *Settings) {
	m.Upstream = m.client(newAuthorities("--upstream-ca", s.UpstreamCA), s.UpstreamName)
	if s.UpstreamCert == "" {
		return
	}
	certificate := newCertificate("--upstream-cert", s.UpstreamCert, s.UpstreamKey)
	m.watch(certificate)
	m.Upstream.GetClientCertificate = present(certificate)
}

// present returns a callback that presents the certificate in force.
func present(certificate *watched[tls.Certificate]) func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return certificate.value.Load(), nil
	}
}

// VerifyError reports a certificate that is not accepted.
type VerifyError struct {
	Err error
}

// Error implements error.
func (e *VerifyError) Error() string { return "certificate not accepted: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *VerifyError) Unwrap() error { return e.Err }

// verify checks the other side's certificate.
func verify(state tls.ConnectionState, authorities *x509.CertPool, name string, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &VerifyError{Err: &FormError{Reason: "none was presented"}}
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

// Refresh takes in replaced files. It reports how many values changed, and the
// errors of those that could not be read and stay as they were.
func (m *Material) Refresh() (changed int, errs []error) {
	for _, file := range m.files {
		isNew, err := file.refresh()
		if err != nil {
			errs = append(errs, err)
		}
		if isNew {
			changed++
		}
	}
	return changed, errs
}

// Follow takes in replaced files until the context ends; report gets the number
// of changed values or an error.
func (m *Material) Follow(ctx context.Context, report func(changed int, err error)) {
	if len(m.files) == 0 {
		return
	}
	ticker := time.NewTicker(m.reload)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, errs := m.Refresh()
		for _, err := range errs {
			report(0, fmt.Errorf("reload certificates: %w", err))
		}
		if changed > 0 {
			report(changed, nil)
		}
	}
}
