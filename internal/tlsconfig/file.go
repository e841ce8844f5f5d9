package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// stamp tells two states of a file apart without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

// stampOf returns the state of a file.
func stampOf(name string) (stamp, error) {
	info, err := os.Stat(name)
	if err != nil {
		return stamp{}, fmt.Errorf("look at the file: %w", err)
	}
	return stamp{modified: info.ModTime(), size: info.Size()}, nil
}

// watched is one or more files that make one value together.
type watched[T any] struct {
	// setting is the flag that names the first file.
	setting string
	files   []string
	read    func(files []string) (*T, error)
	stamps  []stamp
	value   atomic.Pointer[T]
}

// open reads the files for the first time.
func (w *watched[T]) open() error {
	_, err := w.refresh()
	return err
}

// refresh reads the files if one was replaced. After an error the earlier value
// stays in use, and the files are tried again at the next look.
func (w *watched[T]) refresh() (changed bool, err error) {
	stamps := make([]stamp, len(w.files))
	for i, name := range w.files {
		if stamps[i], err = stampOf(name); err != nil {
			return false, &SettingError{Setting: w.setting, Err: err}
		}
	}
	if w.value.Load() != nil && equal(stamps, w.stamps) {
		return false, nil
	}
	value, err := w.read(w.files)
	if err != nil {
		return false, &SettingError{Setting: w.setting, Err: err}
	}
	w.value.Store(value)
	w.stamps = stamps
	return true, nil
}

// equal reports whether no file was replaced.
func equal(a, b []stamp) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

// newCertificate watches a certificate and its key.
func newCertificate(setting, cert, key string) *watched[tls.Certificate] {
	return &watched[tls.Certificate]{setting: setting, files: []string{cert, key}, read: readCertificate}
}

// readCertificate reads a certificate and its key.
func readCertificate(files []string) (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(files[0], files[1])
	if err != nil {
		return nil, fmt.Errorf("read the certificate and its key: %w", err)
	}
	return &certificate, nil
}

// newAuthorities watches a file of authorities' certificates.
func newAuthorities(setting, file string) *watched[x509.CertPool] {
	return &watched[x509.CertPool]{setting: setting, files: []string{file}, read: readAuthorities}
}

// readAuthorities reads the certificates of authorities.
func readAuthorities(files []string) (*x509.CertPool, error) {
	text, err := os.ReadFile(files[0])
	if err != nil {
		return nil, fmt.Errorf("read the authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &FormError{Reason: "the file holds no certificate in PEM"}
	}
	return pool, nil
}
