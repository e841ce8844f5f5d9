package history

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// maxSends bounds how often a client sends one order.
const maxSends = 5

// client simulates a caller with one session that sends its orders one after the
// other. At random it resends an order, sends it to all nodes, reuses its identifier
// with another body or closes the request early, more often than real callers do.
type client struct {
	scenario *Scenario
	number   int
	session  model.SessionID
	sequence uint64
	// highestKnown is the highest sequence number up to which the client knows the
	// outcomes of all its orders.
	highestKnown uint64
	body         string
	sends        int
}

// startClient starts a client at a random time within the first second.
func (s *Scenario) startClient(number int) {
	c := &client{scenario: s, number: number}
	s.world.After(time.Duration(s.random.IntN(int(time.Second))), c.requestEntry)
}

// requestEntry requests a session from a random node, retries until it has one and
// then starts the first order.
func (c *client) requestEntry() {
	s := c.scenario
	host := s.randomHost()
	if !s.world.Alive(host) {
		s.world.After(100*time.Millisecond, c.requestEntry)
		return
	}
	s.world.Entry(host, service, func(reply effect.ReplyEntry) {
		if c.session.IsZero() {
			c.session = reply.Session
		}
	})
	s.world.After(50*time.Millisecond, func() {
		if c.session.IsZero() {
			c.requestEntry()
			return
		}
		c.next()
	})
}

// randomHost returns a random host.
func (s *Scenario) randomHost() model.HostID {
	hosts := s.world.Hosts()
	return hosts[s.random.IntN(len(hosts))]
}

// next starts the client's next order, if any is left.
func (c *client) next() {
	if c.sequence == ordersPerClient {
		return
	}
	c.sequence++
	c.sends = 0
	c.body = fmt.Sprintf(`"card %d of client %d"`, c.sequence, c.number)
	c.attempt()
}

// attempt sends the current order to a random node, or sometimes to all nodes at
// once, and schedules the call of decide. Sometimes it sends another body under the
// same identifier.
func (c *client) attempt() {
	s := c.scenario
	c.sends++
	body := c.body
	if s.random.IntN(25) == 0 {
		body = `"another card under the same identifier"`
	}
	if s.random.IntN(10) == 0 {
		for _, host := range s.world.Hosts() {
			c.send(host, body)
		}
	} else {
		c.send(s.randomHost(), body)
	}
	delay := 50*time.Millisecond + time.Duration(s.random.IntN(1000))*time.Millisecond
	s.world.After(delay, c.decide)
}

// decide either resends the order, even if its outcome is known, or starts the
// next one.
func (c *client) decide() {
	s := c.scenario
	if c.sends < maxSends && s.random.IntN(2) == 0 {
		c.attempt()
		return
	}
	c.next()
}

// send sends the current order to a node and records the call. Sometimes the
// caller closes the request before it is answered.
func (c *client) send(host model.HostID, body string) {
	s := c.scenario
	if !s.world.Alive(host) {
		return
	}
	index := len(s.history.Calls)
	id := model.RequestID{Session: c.session, Sequence: c.sequence}
	s.history.Calls = append(s.history.Calls, Call{ID: id, Body: body, Called: s.world.Now(), Client: c.number})
	e := event.Order{
		RequestID:    id,
		Service:      service,
		Body:         []byte(body),
		Timeout:      time.Duration(100+s.random.IntN(1000)) * time.Millisecond,
		Acknowledged: c.acknowledged(),
	}
	call := s.world.Order(host, e, func(answer model.Answer) { c.record(index, answer) })
	if s.random.IntN(8) == 0 {
		s.world.After(time.Duration(s.random.IntN(50))*time.Millisecond, func() { s.world.CallerGone(host, call) })
	}
}

// acknowledged returns the sequence number that the client acknowledges with an
// order: highestKnown, or zero in a third of the cases.
func (c *client) acknowledged() uint64 {
	if c.scenario.random.IntN(3) == 0 {
		return 0
	}
	return c.highestKnown
}

// record records an answer in the call at an index of the history. Some answers
// are dropped at random, as if they were lost on the way to the client.
func (c *client) record(index int, answer model.Answer) {
	s := c.scenario
	if s.random.IntN(12) == 0 {
		return
	}
	call := &s.history.Calls[index]
	call.Returned = s.world.Now()
	call.Outcome = answer.Outcome
	if answer.Failure != nil {
		call.Code = answer.Failure.Code
	}
	if answer.Outcome == model.Answered {
		call.Execution = execution(answer.OrderReply)
	}
	if answer.Outcome != model.Unknown && call.ID.Sequence == c.highestKnown+1 {
		c.highestKnown++
	}
}

// execution returns the run's number from an upstream's reply. It returns zero,
// which the model never permits for an answer, if the reply cannot be decoded.
func execution(reply json.RawMessage) uint64 {
	var decoded virtual.OrderReply
	if err := json.Unmarshal(reply, &decoded); err != nil {
		return 0
	}
	return decoded.Execution
}
