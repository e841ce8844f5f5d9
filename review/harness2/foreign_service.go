package main

import (
	"fmt"
	"time"
)

// foreignOrders is the number of orders that are sent.
const foreignOrders = 60

// foreignService has another writer register a backend of a service that the configuration does not
// name. It counts the orders that this backend runs.
func foreignService(d *deployment, trouble bool) (int, error) {
	if _, err := d.addPress(); err != nil {
		return 0, err
	}
	foreign := &backend{service: orderService + "/archive", instance: "i-archive", zone: zoneName(0), slots: 3, work: pressWork}
	if err := d.addForeign(foreign, trouble); err != nil {
		return 0, err
	}
	d.writeConfig(1, orderRoute())
	n, err := d.startNode(zoneName(0))
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	broken := 0
	for i := range foreignOrders {
		id := newID()
		a := d.order(n, id, fmt.Sprintf("card %d", i))
		if foreign.count(id) > 0 {
			broken++
			d.record.add("broken", "rule", "ROUTE", "id", id, "run by", foreign.service,
				"foreign answer", a.header.Get("Response-Signature") == foreign.signature(id))
		}
	}
	return broken, nil
}

// addForeign starts a backend and, if it is registered, writes its entry.
func (d *deployment) addForeign(b *backend, registered bool) error {
	if registered {
		return d.addBackend(b)
	}
	b.record = d.record
	if err := b.start(); err != nil {
		return err
	}
	d.unregistered = append(d.unregistered, b)
	return nil
}
