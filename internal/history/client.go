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

// maxSends bounds the sends of one order.
const maxSends = 5

// client is a caller with one session, which sends its orders one after the
// other and resends them as real callers do, and worse.
type client struct {
	scenario *Scenario
	number   int
	session  model.SessionID
	sequence uint64
	// known is the highest sequence number whose outcome the client has, without
	// a gap.
	known uint64
	body  string
	sends int
}

// startClient begins a client at a random time.
func (s *Scenario) startClient(number int) {
	c := &client{scenario: s, number: number}
	s.world.After(time.Duration(s.random.IntN(int(time.Second))), c.askEntry)
}

// askEntry gets a session from a random node, trying again until one answers.
func (c *client) askEntry() {
	s := c.scenario
	host := s.randomHost()
	if !s.world.Alive(host) {
		s.world.After(100*time.Millisecond, c.askEntry)
		return
	}
	s.world.Entry(host, service, func(reply effect.ReplyEntry) {
		if c.session.IsZero() {
			c.session = reply.Session
		}
	})
	s.world.After(50*time.Millisecond, func() {
		if c.session.IsZero() {
			c.askEntry()
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

// next begins the client's next order.
func (c *client) next() {
	if c.sequence == ordersOfEach {
		return
	}
	c.sequence++
	c.sends = 0
	c.body = fmt.Sprintf(`"card %d of client %d"`, c.sequence, c.number)
	c.attempt()
}

// attempt sends the present order, to one node or to all at once, and decides
// later what to do next.
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
	patience := 50*time.Millisecond + time.Duration(s.random.IntN(1000))*time.Millisecond
	s.world.After(patience, c.decide)
}

// decide sends the order again, even if it has an outcome, or goes on.
func (c *client) decide() {
	s := c.scenario
	if c.sends < maxSends && s.random.IntN(2) == 0 {
		c.attempt()
		return
	}
	c.next()
}

// send sends the present order to a node and records what it is told.
func (c *client) send(host model.HostID, body string) {
	s := c.scenario
	if !s.world.Alive(host) {
		return
	}
	place := len(s.history.Calls)
	id := model.RequestID{Session: c.session, Sequence: c.sequence}
	s.history.Calls = append(s.history.Calls, Call{ID: id, Body: body, Called: s.world.Now(), Client: c.number})
	e := event.Order{
		RequestID:    id,
		Service:      service,
		Body:         []byte(body),
		Timeout:      time.Duration(100+s.random.IntN(1000)) * time.Millisecond,
		Acknowledged: c.acknowledged(),
	}
	call := s.world.Order(host, e, func(answer model.Answer) { c.record(place, answer) })
	if s.random.IntN(8) == 0 {
		s.world.After(time.Duration(s.random.IntN(50))*time.Millisecond, func() { s.world.CallerGone(host, call) })
	}
}

// acknowledged returns what the client acknowledges: often what it knows.
func (c *client) acknowledged() uint64 {
	if c.scenario.random.IntN(3) == 0 {
		return 0
	}
	return c.known
}

// record notes what the client was told. The reply may be lost on its way: then
// the client learns nothing.
func (c *client) record(place int, answer model.Answer) {
	s := c.scenario
	if s.random.IntN(12) == 0 {
		return
	}
	call := &s.history.Calls[place]
	call.Returned = s.world.Now()
	call.Outcome = answer.Outcome
	if answer.Failure != nil {
		call.Code = answer.Failure.Code
	}
	if answer.Outcome == model.Answered {
		call.Execution = execution(answer.OrderReply)
	}
	if answer.Outcome != model.Unknown && call.ID.Sequence == c.known+1 {
		c.known++
	}
}

// execution reads the run's number from an upstream's reply; zero if it has
// none, which no model state permits.
func execution(reply json.RawMessage) uint64 {
	var decoded virtual.OrderReply
	if err := json.Unmarshal(reply, &decoded); err != nil {
		return 0
	}
	return decoded.Execution
}
