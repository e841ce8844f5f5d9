package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// makeCertificates implements "certificates": it writes a CA certificate to ca.pem, and a
// node's certificate for the loopback address, signed by the CA, to cert.pem and key.pem.
func makeCertificates(ts *testscript.TestScript, _ bool, _ []string) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	ts.Check(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	node := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{"hawthorntack-node"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, node, ca, &key.PublicKey, caKey)
	ts.Check(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	ts.Check(err)
	for name, block := range map[string]*pem.Block{
		"ca.pem":   {Type: "CERTIFICATE", Bytes: caDER},
		"cert.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		ts.Check(os.WriteFile(ts.MkAbs(name), pem.EncodeToMemory(block), 0o600))
	}
}

// waitForTLS implements "waitfortls URL": it is like waitFor but trusts the CA in ca.pem.
func waitForTLS(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 1 {
		ts.Fatalf("usage: waitfortls URL")
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ts.ReadFile("ca.pem")))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(readyPollInterval) {
		response, err := client.Get(arguments[0])
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("%s did not answer", arguments[0])
}
