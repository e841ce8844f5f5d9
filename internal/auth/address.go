package auth

import (
	"fmt"
	"net"
)

// Settings restricts the addresses on which the administration API may listen.
type Settings struct {
	// OperatorsOnly permits addresses other than loopback. On these, the API refuses
	// all calls while no operator is configured.
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

// CheckAddress returns *AddressError for an administration address that is not a
// loopback address, unless operators are required and TLS protects their keys.
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
			Reason: "operators' keys would be sent in clear text; set a certificate",
		}
	default:
		return nil
	}
}

// IsLoopback reports whether an address HOST:PORT is a loopback IP address. It returns
// false for host names, which it does not resolve, and for an empty host, which means
// all addresses.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
