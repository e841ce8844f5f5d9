package platform

import (
	"sync"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
)

// hostList is the lagging list of hosts.
type hostList struct {
	delay time.Duration

	mu      sync.Mutex
	shown   event.HostList
	pending []pendingList
}

// pendingList is a list that readers do not see yet.
type pendingList struct {
	visible time.Time
	list    event.HostList
}

// set records the owner's list.
func (h *hostList) set(now time.Time, list event.HostList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, pendingList{visible: now.Add(h.delay), list: list})
}

// read returns the newest list that is old enough to be seen.
func (h *hostList) read(now time.Time) event.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pending) > 0 && !h.pending[0].visible.After(now) {
		h.shown = h.pending[0].list
		h.pending = h.pending[1:]
	}
	return h.shown
}
