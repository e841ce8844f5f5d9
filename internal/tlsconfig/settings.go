// Package tlsconfig builds TLS configurations from certificate and key files, and
// reloads replaced files while the process runs. Nodes authenticate each other by mutual
// TLS. Their certificates are signed by the same authorities and contain one DNS name for
// all nodes rather than an address, because hosts may be replaced at any time.
package tlsconfig

import (
	"fmt"
	"time"
)

// Settings names the files. Connections for which no files are named use plain TCP.
type Settings struct {
	CallerCert   string        `long:"caller-cert" env:"HAWTHORNTACK_CALLER_CERT" description:"Certificate for callers; plain TCP without it"`
	CallerKey    string        `long:"caller-key" env:"HAWTHORNTACK_CALLER_KEY" description:"Key of the certificate for callers"`
	AdminCert    string        `long:"admin-cert" env:"HAWTHORNTACK_ADMIN_CERT" description:"Certificate for operators; plain TCP without it"`
	AdminKey     string        `long:"admin-key" env:"HAWTHORNTACK_ADMIN_KEY" description:"Key of the certificate for operators"`
	PeerCert     string        `long:"peer-cert" env:"HAWTHORNTACK_PEER_CERT" description:"This node's certificate for the other nodes; plain TCP without it"`
	PeerKey      string        `long:"peer-key" env:"HAWTHORNTACK_PEER_KEY" description:"Key of this node's certificate"`
	PeerCA       string        `long:"peer-ca" env:"HAWTHORNTACK_PEER_CA" description:"Authorities that sign the nodes' certificates"`
	PeerName     string        `long:"peer-name" env:"HAWTHORNTACK_PEER_NAME" default:"hawthorntack-node" description:"DNS name that every node's certificate holds"`
	UpstreamCA   string        `long:"upstream-ca" env:"HAWTHORNTACK_UPSTREAM_CA" description:"Authorities that sign the upstreams' certificates; plain TCP without it"`
	UpstreamName string        `long:"upstream-name" env:"HAWTHORNTACK_UPSTREAM_NAME" default:"hawthorntack-upstream" description:"DNS name that every upstream's certificate holds"`
	UpstreamCert string        `long:"upstream-cert" env:"HAWTHORNTACK_UPSTREAM_CERT" description:"This node's certificate for upstreams that ask for one"`
	UpstreamKey  string        `long:"upstream-key" env:"HAWTHORNTACK_UPSTREAM_KEY" description:"Key of this node's certificate for upstreams"`
	Reload       time.Duration `long:"cert-reload" env:"HAWTHORNTACK_CERT_RELOAD" default:"10s" description:"Time between two checks for replaced certificate files"`
}

// minReloadInterval is the shortest time between two checks for replaced files.
const minReloadInterval = 100 * time.Millisecond

// SettingError reports a setting that is invalid or whose files cannot be read.
type SettingError struct {
	// Setting is the flag, such as "--caller-cert".
	Setting string
	Err     error
}

// Error implements error.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// MissingError reports a missing setting that another one requires.
type MissingError struct {
	// NeededBy is the flag that requires the missing one.
	NeededBy string
}

// Error implements error.
func (e *MissingError) Error() string { return "must be set together with " + e.NeededBy }

// InvalidError reports an invalid file, value or certificate.
type InvalidError struct {
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Reason }

// checkPair checks that a certificate and its key are either both set or both empty.
func checkPair(certSetting, cert, keySetting, key string) error {
	switch {
	case cert != "" && key == "":
		return &SettingError{Setting: keySetting, Err: &MissingError{NeededBy: certSetting}}
	case cert == "" && key != "":
		return &SettingError{Setting: certSetting, Err: &MissingError{NeededBy: keySetting}}
	default:
		return nil
	}
}

// validate returns *SettingError for the first invalid combination of settings.
func (s *Settings) validate() error {
	for _, err := range []error{
		checkPair("--caller-cert", s.CallerCert, "--caller-key", s.CallerKey),
		checkPair("--admin-cert", s.AdminCert, "--admin-key", s.AdminKey),
		checkPair("--peer-cert", s.PeerCert, "--peer-key", s.PeerKey),
		checkPair("--peer-cert", s.PeerCert, "--peer-ca", s.PeerCA),
		checkPair("--upstream-cert", s.UpstreamCert, "--upstream-key", s.UpstreamKey),
	} {
		if err != nil {
			return err
		}
	}
	switch {
	case s.UpstreamCert != "" && s.UpstreamCA == "":
		return &SettingError{Setting: "--upstream-ca", Err: &MissingError{NeededBy: "--upstream-cert"}}
	case s.PeerCert != "" && s.PeerName == "":
		return &SettingError{Setting: "--peer-name", Err: &InvalidError{Reason: "must not be empty"}}
	case s.UpstreamCA != "" && s.UpstreamName == "":
		return &SettingError{Setting: "--upstream-name", Err: &InvalidError{Reason: "must not be empty"}}
	case s.Reload < minReloadInterval:
		return &SettingError{Setting: "--cert-reload", Err: &InvalidError{Reason: fmt.Sprintf("must be at least %s", minReloadInterval)}}
	default:
		return nil
	}
}
