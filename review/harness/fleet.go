package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hawthorntack/hawthorntack/platform/standin"
)

// Bounds of a small deployment, as in the example of DEPLOY.md.
const (
	drainTimeout      = 3 * time.Second
	stopGrace         = 6 * time.Second
	configApply       = 3 * time.Second
	recoverTime       = 12 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	retryBudgetRatio  = 0.2
	retryBudgetSlack  = 52
)

// Ports of a node. They are the same on all nodes, each of which has an address of its own.
const (
	callerPort    = 18226
	readinessPort = 18227
	controlPort   = 18224
	directoryPort = 18225
	peerPort      = 17740
	lastPeerPort  = 17755
	metricsPort   = 9464
)

// fleet is the store, the nodes and the upstreams of a case.
type fleet struct {
	program   string
	directory string
	rec       *record
	// network is the second and third byte of the nodes' loopback addresses.
	network [2]byte

	store        *standin.Store
	storeServer  *http.Server
	storeAddress string

	nodes     []*node
	upstreams []*upstream
	stopBeats chan struct{}
	beats     sync.WaitGroup
}

// newFleet starts the store.
func newFleet(program, directory string, rec *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	f := &fleet{
		program: program, directory: directory, rec: rec, store: standin.NewStore(),
		storeAddress: listener.Addr().String(), stopBeats: make(chan struct{}),
	}
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.storeServer.Serve(listener) }()
	f.network, err = freeNetwork()
	return f, err
}

// errNoNetwork reports that no loopback address with free ports was found.
var errNoNetwork = errors.New("no loopback network with free ports")

// freeNetwork returns the second and third byte of loopback addresses on which the nodes' ports are
// free.
func freeNetwork() ([2]byte, error) {
	for range 100 {
		network := [2]byte{byte(2 + rand.IntN(250)), byte(rand.IntN(256))}
		if portsAreFree(fmt.Sprintf("127.%d.%d.1", network[0], network[1])) {
			return network, nil
		}
	}
	return [2]byte{}, errNoNetwork
}

// portsAreFree reports whether no process listens on the nodes' ports of an address.
func portsAreFree(ip string) bool {
	for _, port := range []int{callerPort, readinessPort, directoryPort, peerPort, metricsPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// close stops all processes and servers.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.end()
	}
	close(f.stopBeats)
	f.beats.Wait()
	for _, u := range f.upstreams {
		u.crash()
	}
	f.storeServer.Close()
}

// routeConfig is one route of the configuration, in the platform's format.
type routeConfig struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Service         string `json:"service"`
	Type            string `json:"type"`
	MaxAttempts     int    `json:"maxAttempts"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
}

// configure writes a configuration. Its services are those of the routes.
func (f *fleet) configure(version int, routes ...routeConfig) error {
	type service struct {
		Name           string `json:"name"`
		Health         string `json:"healthCheckPath"`
		MaxConnections int    `json:"maxConnections"`
		Protocol       string `json:"protocol"`
		TLS            bool   `json:"tls"`
	}
	var services []service
	for _, r := range routes {
		services = append(services, service{Name: r.Service, Health: "/health", MaxConnections: 38, Protocol: "h1"})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	f.store.Put("op/config", value)
	f.rec.printf("configuration %d is in the store", version)
	return nil
}

// addUpstream starts an upstream and registers it.
func (f *fleet) addUpstream(u *upstream) error {
	if err := u.start(); err != nil {
		return err
	}
	f.upstreams = append(f.upstreams, u)
	f.store.Put(u.key(), u.entry())
	f.beats.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if u.isUp() {
					f.store.Put(u.key(), u.entry())
				}
			case <-f.stopBeats:
				return
			}
		}
	})
	return nil
}

// node is one process of the program.
type node struct {
	name     string
	ip       string
	program  string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// startNodes starts one node in each of the zones and waits until they are ready.
func (f *fleet) startNodes(zones ...string) error {
	for i, zone := range zones {
		n := &node{
			name:     fmt.Sprintf("edge-%s-%d", zone, i+1),
			ip:       fmt.Sprintf("127.%d.%d.%d", f.network[0], f.network[1], i+1),
			program:  f.program,
			settings: filepath.Join(f.directory, fmt.Sprintf("node-%d.json", i+1)),
		}
		if err := n.writeSettings(zone, f.storeAddress); err != nil {
			return err
		}
		var err error
		if n.log, err = os.Create(filepath.Join(f.directory, n.name+".log")); err != nil {
			return fmt.Errorf("node %s: %w", n.name, err)
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// readyTimeout bounds the wait for the nodes to become ready.
const readyTimeout = 20 * time.Second

// errNotReady reports that a node did not become ready.
var errNotReady = errors.New("the nodes are not ready in time")

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			f.rec.printf("%d nodes are ready", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}

// writeSettings writes the settings file in the platform's format.
func (n *node) writeSettings(zone, store string) error {
	address := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	content, err := json.Marshal(map[string]any{
		"nodeName": n.name, "role": "edge", "machineClass": "edge", "serves": []string{"edge", "directory"},
		"ip": n.ip, "zone": zone, "region": "kyushu",
		"zones":           map[string]string{"fukuoka": "kyushu", "kumamoto": "kyushu", "kagoshima": "kyushu"},
		"listenAddresses": map[string]string{"front": address(callerPort), "ready": address(readinessPort), "control": address(controlPort), "directory": address(directoryPort)},
		"internalPorts":   []int{peerPort, lastPeerPort},
		"seedNodes":       []string{}, "firstStart": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.608, "cpuCores": 1, "memoryMb": 414, "fileDescriptors": 6150, "linkMbps": 1500.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entrypoint": "directory", "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
			"drainTimeoutMs": drainTimeout.Milliseconds(), "graceS": stopGrace.Seconds(), "lossSlackMs": 200,
			"configApplyMs": configApply.Milliseconds(), "rollbackSlackMs": 250, "maxSkewMs": 12000,
			"retryBudgetRatio": retryBudgetRatio, "budgetWindowS": 10, "retryBudgetSlack": retryBudgetSlack,
			"recoveryS": recoverTime.Seconds(), "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	})
	if err != nil {
		return fmt.Errorf("settings of %s: %w", n.name, err)
	}
	return os.WriteFile(n.settings, content, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	command := exec.Command(n.program, "edge", "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNTACK_NODE_FILE=" + n.settings}
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	go func() {
		// The error is ignored: processes are ended on purpose.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. One that has exited is not an error.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Signal(s)
}

// exitedChannel returns a channel that is closed when the current process has exited.
func (n *node) exitedChannel() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// end kills the process and closes its log.
func (n *node) end() {
	if n.command != nil {
		n.signal(syscall.SIGKILL)
		<-n.exitedChannel()
	}
	n.log.Close()
}

// isReady reports whether the node's readiness check succeeds.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, readinessPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callerAddress returns the address for callers.
func (n *node) callerAddress() string { return fmt.Sprintf("%s:%d", n.ip, callerPort) }
