// Package loopback finds addresses for the processes that tests start.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// firstPort and lastPort bound the ports. They lie below the ports that the kernel
// gives to sockets which ask for any, so that no such socket takes a port before the
// process that it is meant for listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess spaces the ports at which processes begin.
	portsPerProcess = 8
)

// nextPort is the next port to try. Processes begin at different ones.
var nextPort atomic.Uint32

// FreeAddress returns a loopback address that nobody listens on and that this process
// has not been given before. It returns *NoFreePortError.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		offset := (uint32(os.Getpid())*portsPerProcess + nextPort.Add(1)) % (lastPort - firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", &NoFreePortError{}
}

// NoFreePortError reports that all ports are taken.
type NoFreePortError struct{}

// Error implements error.
func (*NoFreePortError) Error() string {
	return fmt.Sprintf("all ports from %d to %d are taken", firstPort, lastPort)
}
