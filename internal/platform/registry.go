package platform

import (
	"context"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
)

// Registry is a key-value store in which operators write routes, upstreams
// register, and nodes announce themselves. A call whose reply is lost returns
// event.StoreUnknown.
type Registry interface {
	Call(ctx context.Context, call effect.CallRegistry) event.RegistryResult
}
