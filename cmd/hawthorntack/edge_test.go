package main

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hawthorntack/hawthorntack/platform/standin"
)

// startPlatform implements "startplatform FILE": it starts a stand-in for the users'
// platform with one service and writes the settings file of a node, which listens on
// $ADDRESS1 to $ADDRESS4.
func startPlatform(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 1 {
		ts.Fatalf("usage: startplatform FILE")
	}
	store := standin.NewStore()
	server := httptest.NewServer(store)
	ts.Defer(server.Close)
	u := &standin.Upstream{Service: "s", Instance: "u1", Zone: "z1", Slots: 2, ProcessingTime: time.Millisecond}
	ts.Check(u.Start())
	ts.Defer(u.Close)
	store.Put(u.Key(), u.Entry())
	store.Put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/","type":"idempotent",
		"timeoutMs":3000,"targetLatencyMs":1000,"service":"s","maxAttempts":2}],"services":[{"name":"s","maxConnections":26}],"limits":{}}`))
	peer := strings.Split(ts.Getenv("ADDRESS4"), ":")
	var port int
	ts.Check(json.Unmarshal([]byte(peer[1]), &port))
	settings, err := json.Marshal(map[string]any{
		"nodeName": "n1", "zone": "z1", "ip": peer[0], "internalPorts": []int{port, port},
		"listenAddresses": map[string]string{
			"front": ts.Getenv("ADDRESS1"), "ready": ts.Getenv("ADDRESS2"), "directory": ts.Getenv("ADDRESS3"),
		},
		"bounds": map[string]any{
			"drainTimeoutMs": 3000, "graceS": 6, "configApplyMs": 3000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 56, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": strings.TrimPrefix(server.URL, "http://"), "minTtlMs": 1000},
	})
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(arguments[0]), settings, 0o600))
}

// signals are the signals that a script may send.
var signals = map[string]syscall.Signal{
	"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "USR1": syscall.SIGUSR1,
}

// sendSignal implements "signal NAME": it sends a signal to the last background process of
// the script.
func sendSignal(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 1 {
		ts.Fatalf("usage: signal NAME")
	}
	number, known := signals[arguments[0]]
	running := ts.BackgroundCmds()
	if !known || len(running) == 0 {
		ts.Fatalf("signal %s: unknown signal or no background process", arguments[0])
	}
	ts.Check(running[len(running)-1].Process.Signal(number))
}
