package main

import (
	"fmt"
	"net/http"
	"time"
)

// The route of orders, which may run once at most.
const (
	orderHost    = "press.example"
	orderPath    = "/print/card"
	orderService = "press"
	orderTimeout = 1500 * time.Millisecond
)

// orderRoute returns the route of orders.
func orderRoute() route {
	return route{
		Name: "r-press", Host: orderHost, Prefix: "/print/", Type: "non_idempotent",
		TimeoutMs: int(orderTimeout.Milliseconds()), TargetLatencyMs: 250, Service: orderService, MaxAttempts: 2,
	}
}

// pressZones are the zones of the backends of orders, as in the print room of the smallest
// deployment.
var pressZones = []int{0, 0, 0, 1, 1, 2, 2}

// pressWork is the time that an order takes.
const pressWork = 60 * time.Millisecond

// addPress starts the backends of orders.
func (d *deployment) addPress() ([]*backend, error) {
	backends := make([]*backend, len(pressZones))
	for i, zone := range pressZones {
		backends[i] = &backend{service: orderService, instance: fmt.Sprintf("i-press-%d", i), zone: zoneName(zone), slots: 3, work: pressWork}
		if err := d.addBackend(backends[i]); err != nil {
			return nil, err
		}
	}
	return backends, nil
}

// order sends one order to a node on a new connection and records the answer.
func (d *deployment) order(n *node, id, card string) answer {
	d.record.add("sent", "id", id, "node", n.name, "card", card)
	a := ask(n.front, head(http.MethodPost, orderHost, orderPath, id, orderTimeout, card), http.MethodPost, 2*orderTimeout, nil)
	d.record.add("answered", "id", id, "answer", a.text(), "signature", a.header.Get("Response-Signature"))
	return a
}

// startNode starts a node and waits until it serves and has opened its connections.
func (d *deployment) startNode(zone string) (*node, error) {
	n, err := d.addNode(zone)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	return n, nil
}

// settleTime is the time after the start of a node in which nothing happens yet: stabilityWindowMs
// and the start itself.
const settleTime = 5 * time.Second
