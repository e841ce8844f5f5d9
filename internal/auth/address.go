package auth

import (
	"fmt"
	"net"
)

// Settings tell where administration may listen.
type Settings struct {
	// OperatorsOnly permits addresses other than loopback: operators are
	// configured, and without one in force the API refuses there.
	OperatorsOnly bool
}

// AddressError reports an administration address that is not safe to listen on.
type AddressError struct {
	// Setting is the flag that must be changed, such as "--listen-admin".
	Setting string
	Address string
	Reason  string
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%s: administration may not listen on %s: %s", e.Setting, e.Address, e.Reason)
}

// CheckAddress refuses an administration address that is not a loopback one,
// unless operators are required and TLS protects their keys. It returns
// *AddressError.
func (s Settings) CheckAddress(address string, hasTLS bool) error {
	switch {
	case IsLoopback(address):
		return nil
	case !s.OperatorsOnly:
		return &AddressError{
			Setting: "--listen-admin", Address: address,
			Reason: "it is not a loopback address; create an operator first and set --operators-only",
		}
	case !hasTLS:
		return &AddressError{
			Setting: "--admin-cert", Address: address,
			Reason: "operators' keys would travel in clear text; set a certificate",
		}
	default:
		return nil
	}
}

// IsLoopback reports whether an address HOST:PORT is a loopback address. Names
// are not resolved and count as others, and so does an empty host, which stands
// for all addresses.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
