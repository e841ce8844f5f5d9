package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// adminSettings holds the address of the administration API and the operator's
// credentials.
type adminSettings struct {
	Admin    string `long:"admin" env:"HAWTHORNTACK_ADMIN" default:"127.0.0.1:8082" description:"Administration address of a node, HOST:PORT"`
	Operator string `long:"operator" env:"HAWTHORNTACK_OPERATOR" description:"Name of the operator"`
	KeyFile  string `long:"key-file" env:"HAWTHORNTACK_KEY_FILE" description:"File that holds the operator's key"`
	CA       string `long:"admin-ca" env:"HAWTHORNTACK_ADMIN_CA" description:"File of the CA certificates that sign the nodes' certificates for operators, in PEM; plain TCP without it"`
}

// adminClient calls the administration API of one node.
type adminClient struct {
	base          url.URL
	authorization string
	http          *http.Client
}

// client returns a client for the settings; it returns *UsageError if they are invalid.
func (s *adminSettings) client() (*adminClient, error) {
	if err := checkAddress("--admin", s.Admin); err != nil {
		return nil, err
	}
	if (s.Operator == "") != (s.KeyFile == "") {
		return nil, &UsageError{Setting: "--operator", Reason: "must be set together with --key-file"}
	}
	client := &adminClient{base: url.URL{Scheme: "http", Host: s.Admin}, http: &http.Client{}}
	if s.CA != "" {
		config, err := loadCA(s.CA)
		if err != nil {
			return nil, err
		}
		client.base.Scheme = "https"
		client.http.Transport = &http.Transport{TLSClientConfig: config}
	}
	if s.Operator == "" {
		return client, nil
	}
	key, err := readFile(s.KeyFile)
	if err != nil {
		return nil, &UsageError{Setting: "--key-file", Reason: err.Error()}
	}
	client.authorization = "Bearer " + s.Operator + ":" + strings.TrimSpace(key)
	return client, nil
}

// loadCA returns a TLS configuration that trusts the CA certificates in a file; it
// returns *UsageError if the file cannot be read or holds no certificate.
func loadCA(file string) (*tls.Config, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, &UsageError{Setting: "--admin-ca", Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(text)) {
		return nil, &UsageError{Setting: "--admin-ca", Reason: file + " holds no certificate in PEM"}
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// request returns a request with the operator's credentials.
func (c *adminClient) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base.JoinPath(path).String(), body)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", c.base.Host, err)
	}
	if c.authorization != "" {
		request.Header.Set("Authorization", c.authorization)
	}
	return request, nil
}
