// Package loopback finds addresses for the processes that tests start.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports from firstPort up to but not including lastPort are used. They lie below the
// kernel's ephemeral port range, so that no outgoing connection and no socket bound to
// port 0 takes a returned port before the started process listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess is the distance between the first ports of two processes with
	// consecutive IDs, so that processes start at different ports.
	portsPerProcess = 8
)

// triedPorts counts the ports that this process has tried.
var triedPorts atomic.Uint32

// FreeAddress returns a loopback address on which no process listens and which it has
// not returned to this process before. It returns *NoFreePortError if all ports are taken.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		offset := (uint32(os.Getpid())*portsPerProcess + triedPorts.Add(1)) % (lastPort - firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", &NoFreePortError{}
}

// NoFreePortError reports that all ports of the range are taken.
type NoFreePortError struct{}

// Error implements error.
func (*NoFreePortError) Error() string {
	return fmt.Sprintf("all ports from %d to %d are taken", firstPort, lastPort)
}
