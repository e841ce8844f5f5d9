package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// configApply is configApplyMs.
	configApply = 3000 * time.Millisecond
	// movedOrders is the number of orders that are sent after the change of the configuration.
	movedOrders = 40
	// newService is the service to which the second version moves the route.
	newService = "press-new"
)

// storeMoved is no case: five are allowed. The store moves to another address, with all that it holds;
// the settings files name the new address, and the nodes get SIGHUP. It counts the orders that are
// handled as only the older version of the configuration allows, later than configApply after the
// newer one was acknowledged. Without trouble, the store stays where it is.
func storeMoved(d *deployment, trouble bool) (int, error) {
	old, err := d.addPress()
	if err != nil {
		return 0, err
	}
	for i, zone := range pressZones {
		b := &backend{service: newService, instance: fmt.Sprintf("i-new-%d", i), zone: zoneName(zone), slots: 3, work: pressWork}
		if err := d.addBackend(b); err != nil {
			return 0, err
		}
	}
	d.writeConfig(1, orderRoute())
	n, err := d.startNode(zoneName(0))
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	if trouble {
		if err := d.moveStore(n); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * stabilityWindow)
	moved := orderRoute()
	moved.Service = newService
	d.writeConfig(2, moved)
	d.record.add("version 2 acknowledged")
	time.Sleep(2 * configApply)
	broken := 0
	for i := range movedOrders {
		id := newID()
		d.order(n, id, fmt.Sprintf("card %d", i))
		if runsOf(old, id) > 0 {
			broken++
			d.record.add("broken", "rule", "CONFIG", "id", id, "run by", orderService)
		}
	}
	return broken, nil
}

// moveStore moves the store to another address and tells a node.
func (d *deployment) moveStore(n *node) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	settings, err := os.ReadFile(n.settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	moved := listener.Addr().String()
	if err := os.WriteFile(n.settings, []byte(strings.ReplaceAll(string(settings), d.storeAt, moved)), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	old := d.storeHTTP
	d.storeHTTP = &http.Server{Handler: d.stale, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.storeHTTP.Serve(listener) }()
	old.Close()
	d.record.add("store moved", "from", d.storeAt, "to", moved)
	if err := n.command.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("SIGHUP: %w", err)
	}
	return nil
}
