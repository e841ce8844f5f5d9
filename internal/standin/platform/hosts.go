package platform

import (
	"sync"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
)

// hostList is the platform's host list, whose changes become visible after a lag.
type hostList struct {
	lag time.Duration

	mu      sync.Mutex
	visible event.HostList
	pending []pendingList
}

// pendingList is a host list that is not visible yet.
type pendingList struct {
	visibleAt time.Time
	list      event.HostList
}

// set replaces the list; the change becomes visible after the lag.
func (h *hostList) set(now time.Time, list event.HostList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, pendingList{visibleAt: now.Add(h.lag), list: list})
}

// read returns the newest visible list.
func (h *hostList) read(now time.Time) event.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pending) > 0 && !h.pending[0].visibleAt.After(now) {
		h.visible = h.pending[0].list
		h.pending = h.pending[1:]
	}
	return h.visible
}
