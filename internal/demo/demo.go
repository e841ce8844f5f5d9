package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/daemon"
	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// Options configure a demo.
type Options struct {
	Deployment deployment.Deployment
	Nodes      int
	// BodyLimit bounds request bodies, in echo's notation such as "1M".
	BodyLimit string
	// HostListLag is the delay until nodes see a change of the platform's host list.
	HostListLag time.Duration
	Tune        func(*reducer.Settings)
	Log         *logrus.Logger
	Seed        uint64
}

// Demo is a running deployment with its stand-ins and nodes.
type Demo struct {
	StandIns   *StandIns
	Nodes      []*daemon.Daemon
	running    sync.WaitGroup
	mu         sync.Mutex
	nodeErrors []error
}

// Poll interval and timeout of Start.
const (
	readyPollInterval = 10 * time.Millisecond
	applyTimeout      = 10 * time.Second
)

// Start starts the stand-ins and the nodes and applies the deployment's
// configuration. It returns once every node serves with that configuration. It
// returns *StartError, among others, if the nodes are not ready within applyTimeout or
// the configuration is not accepted. The nodes run until the context ends.
func Start(ctx context.Context, options Options) (*Demo, error) {
	standIns, err := StartStandIns(options.Deployment, anyPort, options.HostListLag, options.Seed)
	if err != nil {
		return nil, err
	}
	d := &Demo{StandIns: standIns}
	for i := range options.Nodes {
		if err := d.addNode(options, i); err != nil {
			standIns.Close()
			return nil, err
		}
	}
	for _, node := range d.Nodes {
		d.running.Go(func() { d.recordError(node.Run(ctx)) })
	}
	if err := d.configure(ctx); err != nil {
		standIns.Close()
		return nil, err
	}
	return d, nil
}

// addNode creates a node with its listeners and adds it to the host list.
func (d *Demo) addNode(options Options, i int) error {
	host := model.HostID(fmt.Sprintf("host-%d", i+1))
	domains := options.Deployment.FailureDomains
	client := platform.NewClient(d.StandIns.PlatformURL())
	node, err := daemon.New(daemon.Options{
		Host:          host,
		Incarnation:   daemon.NewIncarnation(),
		FailureDomain: domains[i%len(domains)],
		ListenCaller:  anyPort,
		ListenPeer:    anyPort,
		ListenAdmin:   anyPort,
		BodyLimit:     options.BodyLimit,
		Tune:          options.Tune,
		Store:         client,
		Hosts:         client,
		Log:           options.Log,
		Seed:          options.Seed + uint64(i),
	})
	if err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, node)
	d.StandIns.AddHost(model.HostEntry{
		Host: host, FailureDomain: domains[i%len(domains)], PeerAddress: node.PeerAddress(),
	})
	return nil
}

// recordError records the error with which a node ended, if any.
func (d *Demo) recordError(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodeErrors = append(d.nodeErrors, err)
}

// Stop stops all nodes gracefully, waits for them and closes the stand-ins.
// It returns the nodes' errors.
func (d *Demo) Stop() []error {
	for _, node := range d.Nodes {
		node.Stop()
	}
	d.running.Wait()
	d.StandIns.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodeErrors
}

// CallerAddresses returns the address of the callers' API of each node.
func (d *Demo) CallerAddresses() []string {
	var addresses []string
	for _, node := range d.Nodes {
		addresses = append(addresses, node.CallerAddress())
	}
	return addresses
}

// AdminAddresses returns the address of the administration API of each node.
func (d *Demo) AdminAddresses() []string {
	var addresses []string
	for _, node := range d.Nodes {
		addresses = append(addresses, node.AdminAddress())
	}
	return addresses
}

// configure applies the configuration through the first node and waits until all
// nodes have converged on it.
func (d *Demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	admin := d.AdminAddresses()
	if err := waitFor(ctx, admin[0], isReady); err != nil {
		return err
	}
	if err := apply(ctx, admin[0], statement.Print(d.StandIns.Config)); err != nil {
		return err
	}
	for _, address := range admin {
		if err := waitFor(ctx, address, d.isConverged); err != nil {
			return err
		}
	}
	return nil
}

// StartError reports that a node did not become ready or did not accept the
// configuration.
type StartError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *StartError) Error() string {
	return "node at " + e.Address + " is not ready: " + e.Reason
}

// waitFor polls a node's state dump until it meets a condition. It returns
// *StartError when the context ends.
func waitFor(ctx context.Context, address string, met func(reducer.Dump) bool) error {
	for {
		dump, err := readDump(ctx, address)
		if err == nil && met(dump) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &StartError{Address: address, Reason: fmt.Sprintf("%v, last error %v", ctx.Err(), err)}
		case <-time.After(readyPollInterval):
		}
	}
}

// isReady reports whether a node is in the state Serving.
func isReady(dump reducer.Dump) bool { return dump.State == string(model.Serving) }

// isConverged reports whether a node is serving, sees all nodes as serving, and knows
// the holdings of every upstream.
func (d *Demo) isConverged(dump reducer.Dump) bool {
	serving := 0
	for _, member := range dump.Members {
		if member.State == model.Serving {
			serving++
		}
	}
	return isReady(dump) && serving == len(d.Nodes) && dump.KnownUpstreams == len(d.StandIns.Upstreams)
}

// readDump fetches a node's state dump.
func readDump(ctx context.Context, address string) (reducer.Dump, error) {
	var dump reducer.Dump
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/admin/state", nil)
	if err != nil {
		return dump, fmt.Errorf("state dump: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return dump, fmt.Errorf("state dump: %w", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		return dump, fmt.Errorf("state dump: %w", err)
	}
	return dump, nil
}

// apply executes statements through a node's administration API. It returns
// *StartError if the node does not accept them.
func apply(ctx context.Context, address, text string) error {
	body, err := json.Marshal(struct {
		Text string `json:"text"`
	}{text})
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/admin/statements", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return &StartError{Address: address, Reason: "configuration not accepted: " + string(reply)}
	}
	return nil
}
