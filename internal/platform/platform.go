// Package platform accesses the services of the platform: the key-value service
// that holds the configuration, and the list of hosts. docs/PLATFORM.md
// describes the protocol.
package platform

import (
	"context"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
)

// Store is the platform's key-value service. A call whose reply is lost returns
// event.StoreUnknown: its write may have taken effect, or may still do so.
type Store interface {
	Call(ctx context.Context, call effect.CallStore) event.StoreResult
}

// HostLister reads the platform's list of live and leaving hosts, which may lag
// behind the actual state.
type HostLister interface {
	Hosts(ctx context.Context) event.HostList
}
