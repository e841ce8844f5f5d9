package main

import (
	"errors"
	"io"
	"net"
	"net/url"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/daemon"
)

// logSettings choose what is logged.
type logSettings struct {
	Level string `long:"log-level" env:"HAWTHORNTACK_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"Least severity of log lines"`
}

// logger returns a logger of JSON lines.
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

// checkAddress checks that a setting is a numeric IP address with a port.
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

// checkURL checks that a setting is a URL with a host.
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

// usageOf turns an address that cannot be listened on into a usage error.
func usageOf(err error) error {
	var listen *daemon.ListenError
	if errors.As(err, &listen) {
		return &UsageError{Setting: listen.Setting, Reason: listen.Err.Error()}
	}
	return err
}
