package main

import (
	"net"
	"net/http"
	"time"
)

const (
	// halfClosedOrders is the number of orders that are sent.
	halfClosedOrders = 60
	// halfClosedEvery is the reciprocal of the share of requesters that leave (0.2).
	halfClosedEvery = 5
	// leavesAfter is the time after which such a requester leaves, less than half of the target latency.
	leavesAfter = 30 * time.Millisecond
)

// halfClosed sends orders. Part of the requesters leave before the answer, in the orderly way: they
// close their sending side and read until the node closes its own. It counts the successes without
// the backend's digest and body.
func halfClosed(d *deployment, trouble bool) (int, error) {
	backends, err := d.addPress()
	if err != nil {
		return 0, err
	}
	d.writeConfig(1, orderRoute())
	n, err := d.startNode(zoneName(0))
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	broken := 0
	for i := range halfClosedOrders {
		id := newID()
		closes := trouble && i%halfClosedEvery == 0
		d.record.add("sent", "id", id, "leaves", closes)
		var sent func(net.Conn)
		if closes {
			sent = closeSending
		}
		a := ask(n.front, head(http.MethodPost, orderHost, orderPath, id, orderTimeout, "card"), http.MethodPost, 2*orderTimeout, sent)
		signature := a.header.Get("Response-Signature")
		d.record.add("answered", "id", id, "answer", a.text(), "signature", signature)
		if a.err == nil && a.status == http.StatusOK && signature == "" {
			broken++
			d.record.add("broken", "rule", "MIXED", "id", id, "runs", runsOf(backends, id))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}

// closeSending closes the sending side of a requester's connection after a while.
func closeSending(c net.Conn) {
	time.Sleep(leavesAfter)
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		// An error shows as a failed read.
		_ = tcp.CloseWrite()
	}
}
