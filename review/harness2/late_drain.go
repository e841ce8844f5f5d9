package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// addAfter is the time from the start of the case to the start of the machine that is added.
	addAfter = 6 * time.Second
	// leaveAfter is the time from the start of that machine's process to the removal of the entry of the
	// backend that leaves.
	leaveAfter = 1100 * time.Millisecond
	// servesOn is the time that the leaving backend goes on beyond drainTimeout.
	servesOn = 1000 * time.Millisecond
	// orderInterval is the time between two orders.
	orderInterval = 20 * time.Millisecond
)

// lateDrain adds a machine in a zone that has no other. Shortly after its start, a backend leaves
// without reporting that it drains: its entry is removed, and it serves on for drainTimeout and a
// little longer. It counts the orders that reach that backend later than drainTimeout after the
// removal, from the new machine while it is in touch. Without trouble, the machine has been there
// from the start.
func lateDrain(d *deployment, trouble bool) (int, error) {
	backends, err := d.addPress()
	if err != nil {
		return 0, err
	}
	d.writeConfig(1, orderRoute())
	if _, err := d.startNode(zoneName(0)); err != nil {
		return 0, err
	}
	var n *node
	if !trouble {
		if n, err = d.startNode(zoneName(1)); err != nil {
			return 0, err
		}
	}
	time.Sleep(addAfter)
	if trouble {
		if n, err = d.addNode(zoneName(1)); err != nil {
			return 0, err
		}
	}
	base := time.Now()
	if trouble {
		base = n.startedAt
	}
	time.Sleep(time.Until(base.Add(leaveAfter)))
	leaving := backends[firstOf(1)]
	leaving.leave()
	d.store.Remove(leaving.key())
	removedAt := time.Now()
	d.record.add("entry removed", "backend", leaving.instance)

	var orders sync.WaitGroup
	var mu sync.Mutex
	type sent struct {
		id string
		at time.Time
		a  answer
	}
	var all []sent
	end := removedAt.Add(drainTimeout + servesOn)
	for i := 0; time.Now().Before(end.Add(time.Second)); i++ {
		orders.Go(func() {
			s := sent{id: newID(), at: time.Now()}
			s.a = d.order(n, s.id, fmt.Sprintf("card %d", i))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
		time.Sleep(orderInterval)
		if time.Now().After(end) && !leaving.isClosed() {
			d.record.add("backend ends", "backend", leaving.instance)
			leaving.close()
		}
	}
	orders.Wait()

	inTouchFrom := base.Add(stabilityWindow)
	broken, lost := 0, 0
	for _, s := range all {
		at, arrived := leaving.arrival(s.id)
		if !arrived || s.at.Before(inTouchFrom) || at.Sub(removedAt) <= drainTimeout {
			continue
		}
		broken++
		if s.a.status != http.StatusOK {
			lost++
		}
		d.record.add("broken", "rule", "DRAIN", "id", s.id, "after the removal", at.Sub(removedAt), "after the start of the node", at.Sub(base), "answer", s.a.text())
	}
	d.record.add("orders lost with the backend", "count", lost)
	return broken, nil
}

// firstOf returns the index of the first backend of orders in a zone.
func firstOf(zone int) int { return slices.Index(pressZones, zone) }
