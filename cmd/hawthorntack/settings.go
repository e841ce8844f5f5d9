package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/url"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/daemon"
	"github.com/hawthorntack/hawthorntack/internal/tlsconfig"
)

// logSettings configures the log.
type logSettings struct {
	Level string `long:"log-level" env:"HAWTHORNTACK_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"Minimum severity of log lines"`
}

// logger returns a logger that writes JSON lines; it returns *UsageError if the level is
// unknown.
func (s logSettings) logger(out io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, &UsageError{Setting: "--log-level", Reason: err.Error()}
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return log, nil
}

// checkAddress checks that a setting is a numeric IP address with a port; it returns
// *UsageError if it is not.
func checkAddress(setting, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &UsageError{Setting: setting, Reason: err.Error()}
	}
	if net.ParseIP(host) == nil {
		return &UsageError{Setting: setting, Reason: "the host of " + address + " is not an IP address"}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n > 65535 {
		return &UsageError{Setting: setting, Reason: "the port of " + address + " is not from 0 to 65535"}
	}
	return nil
}

// checkURL checks that a setting is an http or https URL with a host; it returns
// *UsageError if it is not.
func checkURL(setting, text string) error {
	parsed, err := url.Parse(text)
	if err != nil {
		return &UsageError{Setting: setting, Reason: err.Error()}
	}
	if (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return &UsageError{Setting: setting, Reason: text + " is not an http or https URL"}
	}
	return nil
}

// asUsageError converts an error of a listening address to *UsageError and returns
// other errors unchanged.
func asUsageError(err error) error {
	var listen *daemon.ListenError
	if errors.As(err, &listen) {
		return &UsageError{Setting: listen.Setting, Reason: listen.Err.Error()}
	}
	var address *auth.AddressError
	if errors.As(err, &address) {
		return &UsageError{Setting: address.Setting, Reason: address.Reason + " (" + address.Address + ")"}
	}
	return err
}

// tlsSettings are the settings of TLS and of access to the administration API.
type tlsSettings struct {
	tlsconfig.Settings
	OperatorsOnly bool `long:"operators-only" env:"HAWTHORNTACK_OPERATORS_ONLY" description:"Administration may listen on addresses other than loopback, with TLS, for configured operators only"`
}

// loadCertificates reads the certificates; it returns *UsageError for a setting that
// is invalid.
func (s *tlsSettings) loadCertificates() (*tlsconfig.Material, error) {
	material, err := s.Load()
	var setting *tlsconfig.SettingError
	if errors.As(err, &setting) {
		return nil, &UsageError{Setting: setting.Setting, Reason: setting.Err.Error()}
	}
	return material, err
}

// watchCertificates reloads replaced certificate files until the context ends and logs
// each reload or error.
func watchCertificates(ctx context.Context, material *tlsconfig.Material, log *logrus.Logger) {
	entry := log.WithField("component", "tls")
	material.Watch(ctx, func(changed int, err error) {
		if err != nil {
			entry.WithError(err).Error("certificates not reloaded")
			return
		}
		entry.WithField("changed", changed).Info("certificates reloaded")
	})
}
