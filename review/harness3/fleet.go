package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hawthorntack/hawthorntack/platform/standin"
)

// Bounds of the deployment: those of the users' smaller installation.
const (
	drainTimeout      = 3 * time.Second
	configApply       = 3 * time.Second
	grace             = 6 * time.Second
	lossSlack         = 200 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	memoryMB          = 284
	descriptors       = 4100
	maxBodyBytes      = 262144
	machines          = 4
	callerHost        = "leno12.example"
)

// program is the binary that the build line of the deploy file makes.
const program = "target/hawthorntack"

// fleet holds the store, the backends and the nodes of a run.
type fleet struct {
	record   *record
	store    *standin.Store
	listener net.Listener
	server   *http.Server
	backends []*backend
	nodes    []*node
	folder   string
	// ip is the start of the nodes' addresses.
	ip string

	mu       sync.Mutex
	stopping bool
	version  int
}

// node is one process of the program.
type node struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	// front, ready and directory are its addresses for callers, checks and lookups.
	front, ready, directory string
	settings                string
	log                     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// isOff is set while the process is not to be started again.
	isOff bool
}

// startStore starts the stand-in of the platform's store.
func (f *fleet) startStore() error {
	var err error
	if f.folder, err = os.MkdirTemp("", "review3-"); err != nil {
		return err
	}
	f.store = standin.NewStore()
	if f.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(f.listener) }()
	go f.sendHeartbeats()
	return nil
}

// sendHeartbeats writes the entries of the backends again and again.
func (f *fleet) sendHeartbeats() {
	for {
		time.Sleep(heartbeatInterval)
		f.mu.Lock()
		if f.stopping {
			f.mu.Unlock()
			return
		}
		backends := append([]*backend(nil), f.backends...)
		f.mu.Unlock()
		for _, b := range backends {
			f.register(b)
		}
	}
}

// addBackend starts a backend and registers it.
func (f *fleet) addBackend(b *backend) error {
	if err := b.start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.backends = append(f.backends, b)
	f.mu.Unlock()
	f.register(b)
	return nil
}

// register writes the next value of a backend's entry.
func (f *fleet) register(b *backend) {
	entry, err := b.entry()
	if err != nil {
		f.record.printf("entry of %s: %v", b.id, err)
		return
	}
	if entry != nil {
		f.store.Put("servers/"+b.id, entry)
	}
}

// orderRoute returns the route for orders.
func orderRoute(more map[string]any) map[string]any {
	r := map[string]any{
		"name": "inquiry", "host": callerHost, "prefix": orderPrefix, "type": "non_idempotent", "maxAttempts": 2,
		"timeoutMs": orderTimeout.Milliseconds(), "targetLatencyMs": 500, "priority": 1,
	}
	maps.Copy(r, more)
	return r
}

// writeConfig writes the next version of the configuration.
func (f *fleet) writeConfig(routes []map[string]any, services []string) {
	f.mu.Lock()
	f.version += 3
	version := f.version
	f.mu.Unlock()
	var listed []map[string]any
	for _, service := range services {
		listed = append(listed, map[string]any{"name": service, "maxConnections": 110})
	}
	encoded, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("op/config", encoded)
	f.record.printf("configuration %d written", version)
}

// startNodes starts the four machines of the smaller installation and waits until they are ready.
func (f *fleet) startNodes(zones []string) error {
	f.ip = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+os.Getpid()/200%250)
	ports, err := f.freePorts()
	if err != nil {
		return err
	}
	for i := range machines {
		if err := f.addNode(zones[i%len(zones)], ports); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// addNode creates a node on a loopback address of its own. All nodes have the same ports.
func (f *fleet) addNode(zone string, ports [5]int) error {
	n := &node{fleet: f, name: fmt.Sprintf("edge-%d", len(f.nodes)+1), zone: zone}
	n.ip = fmt.Sprintf("%s.%d", f.ip, len(f.nodes)+1)
	address := func(i int) string { return net.JoinHostPort(n.ip, fmt.Sprint(ports[i])) }
	n.front, n.ready, n.directory = address(0), address(1), address(2)
	n.settings = filepath.Join(f.folder, n.name+".json")
	content, err := json.Marshal(map[string]any{
		"nodeName": n.name, "role": "edge", "machineClass": "edge", "serves": []string{"edge", "directory"},
		"ip": n.ip, "zone": zone, "region": "kyushu",
		"listenAddresses": map[string]string{"front": n.front, "ready": n.ready, "control": address(3), "directory": n.directory},
		"internalPorts":   []int{ports[4], ports[4] + 15}, "seedNodes": []string{}, "firstStart": true,
		"limits":              map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": memoryMB, "fileDescriptors": descriptors, "linkMbps": 1000, "diskMb": 0},
		"heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
			"drainTimeoutMs": drainTimeout.Milliseconds(), "graceS": grace.Seconds(), "lossSlackMs": lossSlack.Milliseconds(),
			"configApplyMs": configApply.Milliseconds(), "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retryBudgetSlack": 52, "recoveryS": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": f.listener.Addr().String(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, content, 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(f.folder, n.name+".log")); err != nil {
		return err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	return n.start()
}

// freePorts returns ports below the ephemeral range that are free on the addresses of all machines.
func (f *fleet) freePorts() ([5]int, error) {
	var ports [5]int
	found := 0
	for port := 20000 + os.Getpid()%900*12; port < 32000 && found < len(ports); port++ {
		if f.isFree(port) {
			ports[found] = port
			found++
		}
	}
	if found < len(ports) {
		return ports, errors.New("no free ports")
	}
	return ports, nil
}

// isFree reports whether a port is free on the addresses of all machines.
func (f *fleet) isFree(port int) bool {
	for i := range machines {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.ip, i+1, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// start starts the process, unless the run is ending. It is started again whenever it ends, as on the
// platform.
func (n *node) start() error {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.fleet.stopping {
		return errors.New("the run is ending")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	command := exec.Command(program, "edge", "--metrics-port", "9464")
	command.Env = append(os.Environ(), "HAWTHORNTACK_NODE_FILE="+n.settings)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.exited = command, make(chan struct{})
	go n.startAgain(command, n.exited)
	return nil
}

// restartDelay is the time between the end of a process and the start of the next.
const restartDelay = 300 * time.Millisecond

// startAgain waits for the end of the process and starts the next one.
func (n *node) startAgain(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	n.fleet.record.printf("%s ended: %v", n.name, err)
	time.Sleep(restartDelay)
	n.mu.Lock()
	isOff := n.isOff
	n.mu.Unlock()
	if isOff {
		return
	}
	if err := n.start(); err != nil {
		n.fleet.record.printf("%s: %v", n.name, err)
	}
}

// isReady reports whether the node's check succeeds.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	for _, n := range f.nodes {
		until := time.Now().Add(12 * time.Second)
		for !n.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	if f.stopping {
		f.mu.Unlock()
		return
	}
	f.stopping = true
	nodes, backends := slices.Clone(f.nodes), slices.Clone(f.backends)
	f.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		n.isOff = true
		command, exited := n.command, n.exited
		n.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-exited
		n.log.Close()
	}
	for _, b := range backends {
		b.stop()
	}
	if f.server != nil {
		f.server.Close()
	}
	if strings.Contains(f.folder, "review3-") {
		os.RemoveAll(f.folder)
	}
}
