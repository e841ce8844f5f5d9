package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// receiveRequest handles the arrival of a request at its upstream.
func (n *node) receiveRequest(e effect.SendForward, conn *simConnection) {
	sim, u := n.sim, conn.upstream
	if u.silent || conn.closed {
		return
	}
	if u.down {
		n.closeConnection(e.Connection, conn, "reset")
		return
	}
	u.arrivals++
	n.sendLateCopy(e, conn)
	if told, found := u.toldAt[n]; found && sim.now.Sub(told) >= toldBefore {
		u.arrivedAt = append(u.arrivedAt, sim.now)
	}
	// The upstream refuses a request if all slots are taken and 12 others wait already.
	// It also refuses the share refuseShare of the requests at random.
	if u.running >= u.slots && len(u.queue) >= 12 || sim.random.Float64() < u.refuseShare {
		n.reply(e, conn, event.ForwardNotRun)
		if sim.random.Float64() < u.repeatShare {
			conn.lateCopy, conn.copyAfter = e.Request.ID, sim.random.IntN(maxCopyAfter)
		}
		return
	}
	u.queue = append(u.queue, func() { n.startRequest(e, conn) })
	sim.startQueued(u)
}

// maxCopyAfter bounds the requests on a connection before a late copy of a refusal.
const maxCopyAfter = 3

// sendLateCopy sends the late copy of a refusal, if one is due. The node takes it for the reply to
// the request only if that has the same identifier, and closes the connection otherwise.
func (n *node) sendLateCopy(e effect.SendForward, conn *simConnection) {
	if conn.lateCopy == "" {
		return
	}
	if conn.copyAfter > 0 {
		conn.copyAfter--
		return
	}
	if conn.lateCopy != e.Request.ID {
		n.closeConnection(e.Connection, conn, "mismatch")
	} else {
		n.reply(e, conn, event.ForwardNotRun)
	}
	conn.lateCopy = ""
}

// startQueued starts queued requests while the upstream has free slots.
func (sim *simulation) startQueued(u *upstream) {
	for u.running < u.slots && len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		next()
	}
}

// startRequest starts a request and schedules its end.
func (n *node) startRequest(e effect.SendForward, conn *simConnection) {
	sim, u := n.sim, conn.upstream
	if conn.closed {
		return
	}
	u.running++
	u.runs++
	if c := sim.findCall(e.Request.ID); c != nil {
		c.runs[u.service]++
	}
	sim.runTimes[e.Request.URI] = append(sim.runTimes[e.Request.URI], sim.now)
	start := u.starts
	if u.crashOn != "" && strings.HasPrefix(e.Request.URI, u.crashOn) {
		sim.schedule(u.crashDelay, func() {
			if u.starts != start || u.down {
				return
			}
			if u.dropsAbandoned && conn.closed {
				u.running--
				sim.startQueued(u)
				return
			}
			sim.crashTimes[e.Request.URI] = append(sim.crashTimes[e.Request.URI], sim.now)
			sim.crash(u)
		})
		return
	}
	duration := time.Duration(float64(u.serviceTime) * max(1, u.slowdown) * (0.7 + 0.6*sim.random.Float64()))
	sim.scheduleAt(max(sim.now, u.pausedUntil).Add(duration), func() {
		if u.down || u.starts != start {
			return
		}
		u.running--
		switch {
		case sim.random.Float64() < u.loseShare:
			n.closeConnection(e.Connection, conn, "reset")
		case sim.random.Float64() < u.failShare:
			n.reply(e, conn, event.ForwardFailed)
		default:
			n.reply(e, conn, event.ForwardAnswered)
		}
		sim.startQueued(u)
	})
}

// crash ends an upstream and all connections to it.
func (sim *simulation) crash(u *upstream) {
	u.down, u.running, u.queue = true, 0, nil
	for _, n := range sim.nodes {
		for _, id := range slices.Sorted(maps.Keys(n.connections)) {
			if conn := n.connections[id]; conn.upstream == u && conn.opened {
				n.closeConnection(id, conn, "reset")
			}
		}
	}
	if u.restartAfter > 0 {
		sim.schedule(u.restartAfter, func() {
			u.down = false
			u.starts++
		})
	}
}

// reply sends a reply, which arrives at the node after the one-way delay.
func (n *node) reply(e effect.SendForward, conn *simConnection, status event.ForwardStatus) {
	sim, u := n.sim, conn.upstream
	load := &model.ReportedLoad{Running: u.running, Waiting: len(u.queue), Slots: u.slots}
	reply := &model.ForwardedReply{Status: 200, Signature: u.id + ":" + e.Request.ID, Body: []byte(fmt.Sprintf("%-16s", u.service))}
	if status == event.ForwardFailed {
		reply.Status = 500
	}
	notice := u.notice
	if status != event.ForwardNotRun {
		notice.RetryAfter = 0
	}
	sim.schedule(oneWay, func() {
		if conn.closed {
			return
		}
		if conn.attempt != e.Attempt {
			// The connection was waiting for another reply or for none.
			n.closeConnection(e.Connection, conn, "mismatch")
			return
		}
		conn.attempt, conn.request = 0, nil
		if _, found := u.toldAt[n]; !found && notice.RateLimited {
			u.toldAt[n] = sim.now
		}
		n.step(func(ctx *step.Context) {
			n.state.HandleReply(ctx, event.ForwardReply{Connection: e.Connection, Attempt: e.Attempt, Status: status, Reply: reply, Load: load, Notice: notice, IdleTimeout: sim.idleTimeout})
		})
	})
}
