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
	// idlePerNode keeps connections to each node open.
	idlePerNode = 512
	// requestTimeout bounds a request that the node does not answer.
	requestTimeout = 30 * time.Second
	// guideTimeout bounds an entry question.
	guideTimeout = 3 * time.Second
)

// guide asks the nodes which addresses to use, and keeps the answer for as long
// as it says.
type guide struct {
	seeds   []string
	service string
	client  *http.Client

	mu       sync.Mutex
	answer   entryAnswer
	until    time.Time
	sequence map[string]uint64
}

// entryAnswer is the answer to an entry question.
type entryAnswer struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTL     int64  `json:"ttl_ms"`
	Session string `json:"session"`
}

// EntryError reports that no node answered an entry question.
type EntryError struct {
	Last error
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("no entry guidance: %v", e.Last) }

// Unwrap returns the last cause.
func (e *EntryError) Unwrap() error { return e.Last }

// StatusError reports an HTTP status that is not a success.
type StatusError struct {
	Status string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Status }

func newGuide(seeds []string, service string) *guide {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerNode,
		MaxIdleConns:        0,
		IdleConnTimeout:     time.Minute,
	}
	return &guide{
		seeds:    seeds,
		service:  service,
		client:   &http.Client{Transport: transport, Timeout: requestTimeout},
		sequence: make(map[string]uint64),
	}
}

// addresses returns the addresses to use, best first; it returns *EntryError.
func (g *guide) addresses(ctx context.Context) ([]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.refresh(ctx); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(g.answer.Addresses))
	for _, a := range g.answer.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, nil
}

// nextID returns a new request identifier of the present session.
func (g *guide) nextID(ctx context.Context) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.refresh(ctx); err != nil {
		return "", err
	}
	g.sequence[g.answer.Session]++
	return fmt.Sprintf("%s.%d", g.answer.Session, g.sequence[g.answer.Session]), nil
}

// forget drops an answer that did not work, so that the next use asks again.
func (g *guide) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Time{}
}

// refresh asks the nodes in turn if the kept answer has run out. An answer that
// has run out is used on if no node can be reached. The caller holds the lock.
func (g *guide) refresh(ctx context.Context) error {
	if time.Now().Before(g.until) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, guideTimeout)
	defer cancel()
	var last error
	for _, address := range g.candidates() {
		answer, err := g.ask(ctx, address)
		if err != nil {
			last = err
			continue
		}
		g.answer = answer
		g.until = time.Now().Add(time.Duration(answer.TTL) * time.Millisecond)
		return nil
	}
	if len(g.answer.Addresses) > 0 {
		return nil
	}
	return &EntryError{Last: last}
}

// candidates returns the known addresses before the seeds.
func (g *guide) candidates() []string {
	var all []string
	for _, a := range g.answer.Addresses {
		all = append(all, a.Address)
	}
	return append(all, g.seeds...)
}

// ask puts the entry question to one node.
func (g *guide) ask(ctx context.Context, address string) (entryAnswer, error) {
	var answer entryAnswer
	target := "http://" + address + "/v1/entry?service=" + url.QueryEscape(g.service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", address, err)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("ask %s: %w", address, &StatusError{Status: response.Status})
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("ask %s: %w", address, err)
	}
	if len(answer.Addresses) == 0 {
		return answer, fmt.Errorf("ask %s: %w", address, &StatusError{Status: "no addresses"})
	}
	return answer, nil
}
