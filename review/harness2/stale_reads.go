package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/hawthorntack/hawthorntack/platform/standin"
)

const (
	// staleAge is the age of what stale reads return. "With allowStale = 1, a read may be seconds
	// old."
	staleAge = 2500 * time.Millisecond
	// snapshotInterval is the time between two snapshots for stale reads.
	snapshotInterval = 50 * time.Millisecond
)

// storeItem is one key in the reply to a range read.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// rangeReply is the reply to a range read.
type rangeReply struct {
	Items      []storeItem `json:"items"`
	HasMore    bool        `json:"hasMore"`
	CurrentRev uint64      `json:"currentRev"`
}

// snapshot is the content of the store at a time.
type snapshot struct {
	at    time.Time
	reply rangeReply
}

// staleReads passes calls on to the store, but answers stale reads with what the store held staleAge
// ago.
type staleReads struct {
	store *standin.Store

	mu        sync.Mutex
	snapshots []snapshot
}

// record takes snapshots until stop is closed.
func (s *staleReads) record(stop <-chan struct{}) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.take()
		case <-stop:
			return
		}
	}
}

// take takes a snapshot and drops those that are not needed any longer.
func (s *staleReads) take() {
	taken := snapshot{at: time.Now(), reply: s.readAll()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, taken)
	for len(s.snapshots) > 1 && taken.at.Sub(s.snapshots[1].at) >= staleAge {
		s.snapshots = s.snapshots[1:]
	}
}

// readAll reads all pages of the store.
func (s *staleReads) readAll() rangeReply {
	var all rangeReply
	after := ""
	for {
		request := httptest.NewRequest(http.MethodGet, "/kv-range?prefix=&after="+url.QueryEscape(after), nil)
		answer := httptest.NewRecorder()
		s.store.ServeHTTP(answer, request)
		var page rangeReply
		if err := json.Unmarshal(answer.Body.Bytes(), &page); err != nil {
			return all
		}
		all.Items = append(all.Items, page.Items...)
		all.CurrentRev = page.CurrentRev
		if !page.HasMore {
			return all
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// ServeHTTP implements http.Handler.
func (s *staleReads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if r.URL.Path != "/kv-range" || query.Get("allowStale") != "1" {
		s.store.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	old := s.snapshots[0].reply
	s.mu.Unlock()
	reply := rangeReply{Items: []storeItem{}, CurrentRev: old.CurrentRev}
	for _, item := range old.Items {
		if strings.HasPrefix(item.Key, query.Get("prefix")) && item.Key > query.Get("after") {
			reply.Items = append(reply.Items, item)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(reply)
}
