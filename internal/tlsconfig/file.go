package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// fileState detects a replaced file without reading it.
type fileState struct {
	modified time.Time
	size     int64
}

// statFile returns the current state of a file.
func statFile(name string) (fileState, error) {
	info, err := os.Stat(name)
	if err != nil {
		return fileState{}, fmt.Errorf("check the file: %w", err)
	}
	return fileState{modified: info.ModTime(), size: info.Size()}, nil
}

// watchedFiles holds a value that is read from one or more files.
type watchedFiles[T any] struct {
	// setting is the flag that names the first file, such as "--caller-cert".
	setting string
	files   []string
	read    func(files []string) (*T, error)
	states  []fileState
	value   atomic.Pointer[T]
}

// open reads the files for the first time.
func (w *watchedFiles[T]) open() error {
	_, err := w.reload()
	return err
}

// reload reads the files if one was replaced since the last read. After an error the
// previous value stays in use, and the next call reads the files again.
func (w *watchedFiles[T]) reload() (changed bool, err error) {
	states := make([]fileState, len(w.files))
	for i, name := range w.files {
		if states[i], err = statFile(name); err != nil {
			return false, &SettingError{Setting: w.setting, Err: err}
		}
	}
	if w.value.Load() != nil && sameStates(states, w.states) {
		return false, nil
	}
	value, err := w.read(w.files)
	if err != nil {
		return false, &SettingError{Setting: w.setting, Err: err}
	}
	w.value.Store(value)
	w.states = states
	return true, nil
}

// sameStates reports whether two lists of file states are equal.
func sameStates(a, b []fileState) bool {
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

// watchCertificate returns a reloadable certificate with its key.
func watchCertificate(setting, cert, key string) *watchedFiles[tls.Certificate] {
	return &watchedFiles[tls.Certificate]{setting: setting, files: []string{cert, key}, read: readCertificate}
}

// readCertificate reads a certificate file and a key file.
func readCertificate(files []string) (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(files[0], files[1])
	if err != nil {
		return nil, fmt.Errorf("read the certificate and its key: %w", err)
	}
	return &certificate, nil
}

// watchAuthorities returns a reloadable pool of certificate authorities.
func watchAuthorities(setting, file string) *watchedFiles[x509.CertPool] {
	return &watchedFiles[x509.CertPool]{setting: setting, files: []string{file}, read: readAuthorities}
}

// readAuthorities reads a PEM file with the certificates of authorities.
func readAuthorities(files []string) (*x509.CertPool, error) {
	text, err := os.ReadFile(files[0])
	if err != nil {
		return nil, fmt.Errorf("read the certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &InvalidError{Reason: "the file contains no PEM certificate"}
	}
	return pool, nil
}
