package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/hawthorntack/hawthorntack/platform/standin"
)

// Bounds of the small deployment, as its settings file states them.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTimeout      = 3000 * time.Millisecond
	stabilityWindow   = 4000 * time.Millisecond
)

// zoneName returns the name of a zone.
func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// deployment is a store, some backends and some nodes on loopback addresses.
type deployment struct {
	program   string
	directory string
	record    *record
	store     *standin.Store
	stale     *staleReads
	storeHTTP *http.Server
	storeAt   string
	nodes     []*node
	mu        sync.Mutex
	// backends are registered, unregistered are not.
	backends     []*backend
	unregistered []*backend
	stop         chan struct{}
	stopped      sync.WaitGroup
}

// newDeployment starts the store.
func newDeployment(program string, r *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	d := &deployment{
		program: program, directory: directory, record: r, store: standin.NewStore(),
		storeAt: listener.Addr().String(), stop: make(chan struct{}),
	}
	d.stale = &staleReads{store: d.store}
	d.stale.take()
	d.storeHTTP = &http.Server{Handler: d.stale, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.storeHTTP.Serve(listener) }()
	d.stopped.Go(d.sendHeartbeats)
	d.stopped.Go(func() { d.stale.record(d.stop) })
	return d, nil
}

// close ends the nodes, the backends and the store.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	close(d.stop)
	d.stopped.Wait()
	for _, b := range append(d.backends, d.unregistered...) {
		b.close()
	}
	d.storeHTTP.Close()
	os.RemoveAll(d.directory)
}

// sendHeartbeats writes the entries of the backends, as each of them does.
func (d *deployment) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.mu.Lock()
			for _, b := range d.backends {
				if !b.hasLeft() && !b.isDown() {
					d.store.Put(b.key(), b.entry())
				}
			}
			d.mu.Unlock()
		case <-d.stop:
			return
		}
	}
}

// addBackend starts a backend and registers it.
func (d *deployment) addBackend(b *backend) error {
	b.record = d.record
	if err := b.start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.backends = append(d.backends, b)
	d.mu.Unlock()
	d.store.Put(b.key(), b.entry())
	return nil
}

// route is one route of the operator's configuration.
type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"prefix"`
	Type            string   `json:"type"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	MaxAttempts     int      `json:"maxAttempts"`
	TopK            int      `json:"topK,omitempty"`
	MinCoverage     float64  `json:"minCoverage,omitempty"`
}

// writeConfig writes the operator's configuration.
func (d *deployment) writeConfig(version int, routes ...route) {
	type service struct {
		Name            string `json:"name"`
		HealthCheckPath string `json:"healthCheckPath"`
		MaxConnections  int    `json:"maxConnections"`
		Protocol        string `json:"protocol"`
		TLS             bool   `json:"tls"`
	}
	var services []service
	known := make(map[string]bool)
	for _, r := range routes {
		for _, name := range append([]string{r.Service}, r.Gather...) {
			if name != "" && !known[name] {
				known[name] = true
				services = append(services, service{Name: name, HealthCheckPath: "/health", MaxConnections: 110, Protocol: "h1"})
			}
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	d.store.Put("op/config", value)
}

// node is one process of the program.
type node struct {
	name      string
	front     string
	ready     string
	directory string
	settings  string
	command   *exec.Cmd
	startedAt time.Time
	exited    chan struct{}
}

// firstNodeAddress is the last number of the loopback address of the first node. Each node has an
// address of its own, as on machines of its own.
const firstNodeAddress = 21

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addNode writes a settings file and starts a node with the command of the deploy file.
func (d *deployment) addNode(zone string) (*node, error) {
	number := len(d.nodes)
	ip := fmt.Sprintf("127.0.0.%d", firstNodeAddress+number)
	n := &node{name: fmt.Sprintf("edge-%d", number)}
	var peer, control string
	for _, address := range []*string{&n.front, &n.ready, &n.directory, &peer, &control} {
		var err error
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	_, port, err := net.SplitHostPort(peer)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	settings := fmt.Sprintf(`{"nodeName": %q, "role": "edge", "machineClass": "edge", "serves": ["edge", "directory"], "ip": %q,
"zone": %q, "region": "region", "listenAddresses": {"front": %q, "ready": %q, "control": %q, "directory": %q},
"internalPorts": [%s, %s], "seedNodes": [], "firstStart": true,
"limits": {"cpuShare": 0.608, "cpuCores": 1, "memoryMb": 414, "fileDescriptors": 6150, "linkMbps": 1500.0, "diskMb": 0},
"heartbeatIntervalMs": 1200,
"bounds": {"seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainTimeoutMs": 3000, "graceS": 6,
"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
"retryBudgetSlack": 56, "recoveryS": 12, "ttl_max_s": 5},
"platform": {"address": %q, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000}}
`, n.name, ip, zone, n.front, n.ready, control, n.directory, port, port, d.storeAt)
	n.settings = filepath.Join(d.directory, n.name+".json")
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := n.start(d); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = "9464"

// start starts the process with the command of the deploy file.
func (n *node) start(d *deployment) error {
	log, err := os.OpenFile(filepath.Join(d.directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	n.command = exec.Command(d.program, "edge", "--metrics-port", metricsPort)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNTACK_NODE_FILE=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	exited := make(chan struct{})
	n.exited = exited
	n.startedAt = time.Now()
	d.record.add("node started", "node", n.name)
	command := n.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process.
func (n *node) kill() {
	_ = n.command.Process.Kill()
	<-n.exited
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready + "/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, limit)
}
