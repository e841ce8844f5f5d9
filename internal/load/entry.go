package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Limits of the HTTP client.
const (
	// idleConnsPerNode bounds the idle connections that are kept open to each node.
	idleConnsPerNode = 512
	// requestTimeout bounds a request, including reading the response.
	requestTimeout = 30 * time.Second
	// entryTimeout bounds one refresh of the entry addresses, over all nodes asked.
	entryTimeout = 3 * time.Second
)

// entryClient requests entry guidance from the nodes, that is, the addresses to use
// and a session, and caches the response for its TTL. It is safe for concurrent use.
type entryClient struct {
	seeds   []string
	service string
	client  *http.Client

	mu      sync.Mutex
	cached  entryResponse
	expires time.Time
	// sequence holds the last sequence number used in each session.
	sequence map[string]uint64
}

// entryResponse is the body of a response to GET /v1/entry.
type entryResponse struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTL     int64  `json:"ttl_ms"`
	Session string `json:"session"`
}

// EntryError reports that no node answered an entry request.
type EntryError struct {
	Last error
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("no entry guidance: %v", e.Last) }

// Unwrap returns the error of the last node that was asked.
func (e *EntryError) Unwrap() error { return e.Last }

// StatusError reports a response with an unexpected HTTP status or without addresses.
type StatusError struct {
	Status string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Status }

func newEntryClient(seeds []string, service string) *entryClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerNode,
		MaxIdleConns:        0,
		IdleConnTimeout:     time.Minute,
	}
	return &entryClient{
		seeds:    seeds,
		service:  service,
		client:   &http.Client{Transport: transport, Timeout: requestTimeout},
		sequence: make(map[string]uint64),
	}
}

// addresses returns the addresses to use, best first. It returns *EntryError if no
// node answers and no earlier response is cached.
func (c *entryClient) addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refresh(ctx); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(c.cached.Addresses))
	for _, a := range c.cached.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, nil
}

// nextID returns the next request identifier of the current session. It returns
// *EntryError like addresses.
func (c *entryClient) nextID(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refresh(ctx); err != nil {
		return "", err
	}
	c.sequence[c.cached.Session]++
	return fmt.Sprintf("%s.%d", c.cached.Session, c.sequence[c.cached.Session]), nil
}

// invalidate marks the cached response as expired, so that the next use refreshes it.
func (c *entryClient) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// refresh asks the nodes in turn if the cached response has expired. If none
// answers, an expired response stays in use; without one, refresh returns
// *EntryError. The caller holds the lock.
func (c *entryClient) refresh(ctx context.Context) error {
	if time.Now().Before(c.expires) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	var last error
	for _, address := range c.candidates() {
		entry, err := c.fetch(ctx, address)
		if err != nil {
			last = err
			continue
		}
		c.cached = entry
		c.expires = time.Now().Add(time.Duration(entry.TTL) * time.Millisecond)
		return nil
	}
	if len(c.cached.Addresses) > 0 {
		return nil
	}
	return &EntryError{Last: last}
}

// candidates returns the addresses to ask: those of the cached response, then the
// seeds.
func (c *entryClient) candidates() []string {
	var all []string
	for _, a := range c.cached.Addresses {
		all = append(all, a.Address)
	}
	return append(all, c.seeds...)
}

// fetch sends an entry request to one node.
func (c *entryClient) fetch(ctx context.Context, address string) (entryResponse, error) {
	var entry entryResponse
	target := "http://" + address + "/v1/entry?service=" + url.QueryEscape(c.service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return entry, fmt.Errorf("ask %s: %w", address, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return entry, fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return entry, fmt.Errorf("ask %s: %w", address, &StatusError{Status: response.Status})
	}
	if err := json.NewDecoder(response.Body).Decode(&entry); err != nil {
		return entry, fmt.Errorf("ask %s: %w", address, err)
	}
	if len(entry.Addresses) == 0 {
		return entry, fmt.Errorf("ask %s: %w", address, &StatusError{Status: "no addresses"})
	}
	return entry, nil
}
