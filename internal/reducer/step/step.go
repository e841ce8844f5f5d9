// Package step defines the context of one reducer step: the time, a random source,
// the node's own identity, the configuration and membership view, and the list of
// effects that the parts of the reducer append to.
package step

import (
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// View is the read-only membership view. The views of two nodes may differ for
// seconds, so a view is only a hint: no guarantee may depend on it.
type View interface {
	// Members returns all members that are not failed, this node included,
	// ordered by host. The slice must not be changed.
	Members() []model.Member
	// Member returns the description of a host, whether it has failed or not, and
	// false if the host is not known.
	Member(host model.HostID) (model.Member, bool)
}

// Context holds the inputs and the effects of one step. It is reused by the next
// step, so no part may keep a reference to it.
type Context struct {
	Now    model.Instant
	Random *rand.Rand
	Self   model.Member
	Config *model.Config
	View   View
	Timers *timer.Queue
	// Effects lists the effects that the step has emitted so far.
	Effects []effect.Effect
}

// Emit appends an effect.
func (c *Context) Emit(e effect.Effect) { c.Effects = append(c.Effects, e) }

// Send emits a message to a peer. A message to the node itself is delivered within
// the same step, after the current handler has returned.
func (c *Context) Send(to model.HostID, m message.Message) {
	member, _ := c.View.Member(to)
	c.Emit(effect.SendPeer{To: to, Address: member.PeerAddress, Message: m})
}

// Broadcast emits a message to all other members that are not failed.
func (c *Context) Broadcast(m message.Message) {
	for _, member := range c.View.Members() {
		if member.Host != c.Self.Host {
			c.Send(member.Host, m)
		}
	}
}

// After sets a timer that fires d from now.
func (c *Context) After(d time.Duration, owner timer.Owner, id uint64) {
	c.Timers.Set(c.Now.Add(d), owner, id)
}

// Count emits an increment of a counter by one.
func (c *Context) Count(metric effect.Metric, label string) {
	c.Emit(effect.Count{Metric: metric, Label: label, Delta: 1})
}

// Log emits a log line.
func (c *Context) Log(severity effect.Severity, component, text string, fields ...effect.Field) {
	c.Emit(effect.Log{Severity: severity, Component: component, Message: text, Fields: fields})
}
