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
	// storeTimeout is the time after which a call ends with an unknown result.
	storeTimeout = 1 * time.Second
	// minRetryDelay is the shortest wait after a failed call; up to as much again
	// is added at random.
	minRetryDelay = 200 * time.Millisecond
)

// logKey returns the key of a revision, zero-padded so that keys sort by revision.
func logKey(revision model.Revision) string {
	return fmt.Sprintf("%s%020d", logPrefix, uint64(revision))
}

// parseLogKey returns the revision of a log key, and false if the key is malformed.
func parseLogKey(key string) (model.Revision, bool) {
	digits, ok := strings.CutPrefix(key, logPrefix)
	revision, err := strconv.ParseUint(digits, 10, 64)
	return model.Revision(revision), ok && err == nil
}

// callPurpose identifies the operation that issued a store call.
type callPurpose uint8

// The purposes of store calls.
const (
	purposeRead callPurpose = iota + 1
	purposeWatch
	purposeCreate
	purposeFence
	purposeCompaction
)

// storeCalls maps each open store call to its purpose.
type storeCalls struct {
	lastID model.OperationID
	open   map[model.OperationID]callPurpose
}

// newStoreCalls returns an empty table.
func newStoreCalls() storeCalls {
	return storeCalls{open: make(map[model.OperationID]callPurpose)}
}

// call emits a store call and registers its purpose.
func (c *storeCalls) call(ctx *step.Context, purpose callPurpose, call effect.CallStore) {
	c.lastID++
	call.Operation = c.lastID
	if call.Timeout == 0 {
		call.Timeout = storeTimeout
	}
	c.open[c.lastID] = purpose
	ctx.Emit(call)
}

// finish removes a call and returns its purpose, or zero if the call is not open.
func (c *storeCalls) finish(operation model.OperationID) callPurpose {
	purpose := c.open[operation]
	delete(c.open, operation)
	return purpose
}

// dropReads removes the open reads and watches, so that their results are ignored.
// Writes stay open, because their results still matter.
func (c *storeCalls) dropReads() {
	for operation, purpose := range c.open {
		if purpose == purposeRead || purpose == purposeWatch {
			delete(c.open, operation)
		}
	}
}

// backoff returns a random wait between one and two times minRetryDelay.
func backoff(ctx *step.Context) time.Duration {
	return minRetryDelay + time.Duration(ctx.Random.Int64N(int64(minRetryDelay)))
}
