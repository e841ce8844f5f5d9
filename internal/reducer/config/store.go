package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Keys of the platform's key-value service.
const (
	logPrefix   = "config/log/"
	snapshotKey = "config/snapshot"
	floorKey    = "config/floor"
)

// Limits of store calls.
const (
	// storeTimeout ends a call as unknown.
	storeTimeout = 1 * time.Second
	// retryAfter is the least wait after a failed call; as much again is random.
	retryAfter = 200 * time.Millisecond
)

// logKey returns the key of a revision. Zero padding keeps the keys' order.
func logKey(revision model.Revision) string {
	return fmt.Sprintf("%s%020d", logPrefix, uint64(revision))
}

// parseLogKey returns the revision of a log key.
func parseLogKey(key string) (model.Revision, bool) {
	digits, ok := strings.CutPrefix(key, logPrefix)
	revision, err := strconv.ParseUint(digits, 10, 64)
	return model.Revision(revision), ok && err == nil
}

// purpose is what a store call is for.
type purpose uint8

// The purposes of store calls.
const (
	forRead purpose = iota + 1
	forWatch
	forCreate
	forFence
	forCompaction
)

// storeCalls knows the purpose of each open call.
type storeCalls struct {
	last model.OperationID
	open map[model.OperationID]purpose
}

// newStoreCalls returns an empty table.
func newStoreCalls() storeCalls {
	return storeCalls{open: make(map[model.OperationID]purpose)}
}

// call emits a store call.
func (c *storeCalls) call(ctx *step.Context, why purpose, call effect.CallStore) {
	c.last++
	call.Operation = c.last
	if call.Timeout == 0 {
		call.Timeout = storeTimeout
	}
	c.open[c.last] = why
	ctx.Emit(call)
}

// take closes a call and returns its purpose, zero if it is not open.
func (c *storeCalls) take(operation model.OperationID) purpose {
	why := c.open[operation]
	delete(c.open, operation)
	return why
}

// forget drops the open calls that only read; their results no longer count.
// Results of writes still do.
func (c *storeCalls) forget() {
	for operation, why := range c.open {
		if why == forRead || why == forWatch {
			delete(c.open, operation)
		}
	}
}

// backoff returns a random wait between one and two times retryAfter.
func backoff(ctx *step.Context) time.Duration {
	return retryAfter + time.Duration(ctx.Random.Int64N(int64(retryAfter)))
}
