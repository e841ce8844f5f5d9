// Package entry selects nodes by weighted rendezvous hashing: which nodes the callers
// of a service should use, and which nodes dispatch for an upstream. Both are computed
// from a membership view that may be stale, so they are hints, and correctness must not
// depend on them.
package entry

import (
	"math/rand/v2"
	"path"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Settings configures the selection of nodes.
type Settings struct {
	// SubsetSize is the number of nodes that serve the callers of one service.
	SubsetSize int
	// Dispatchers is the number of nodes that hold connections to one upstream.
	Dispatchers int
	// TTL is how long a caller may cache an entry reply.
	TTL time.Duration
}

// Default settings.
const (
	DefaultSubsetSize  = 4
	DefaultDispatchers = 1
	DefaultTTL         = 5 * time.Second
)

// State selects nodes and numbers the sessions that this node opens.
type State struct {
	settings Settings
	// lastSessionNumber is the number of the last session that this node opened.
	lastSessionNumber uint64
	// view caches what was computed from the latest members.
	view *view
}

// New returns a state that has opened no session.
func New(settings Settings) *State { return &State{settings: settings} }

// Settings returns the current settings.
func (s *State) Settings() Settings { return s.settings }

// LastSessionNumber returns the number of the last session that this node opened, or
// zero if it has opened none.
func (s *State) LastSessionNumber() uint64 { return s.lastSessionNumber }

// HandleEntry replies with the addresses that a caller should use for a service or a
// pattern of service names. A pattern is hashed by its own text, so that all callers of one
// pattern use the same nodes. Callers use the first address, so the nodes are shuffled
// by weight in each reply: in a fixed order, all callers would use the same node.
func (s *State) HandleEntry(ctx *step.Context, e event.Entry) {
	if !anyServiceMatches(ctx.Config, e.Service) {
		ctx.Emit(effect.ReplyEntry{
			Call:    e.Call,
			Failure: model.Failf(model.CodeUnknownService, "no service matches %.100q", e.Service),
		})
		return
	}
	ctx.Emit(effect.ReplyEntry{
		Call:      e.Call,
		Addresses: addresses(shuffle(ctx.Random, s.Subset(model.ServiceName(e.Service), ctx.View.Members()))),
		TTL:       s.settings.TTL,
		Session:   s.openSession(ctx),
	})
}

// shuffle orders the members at random. Each member comes first with a probability
// proportional to its weight.
func shuffle(random *rand.Rand, members []model.Member) []model.Member {
	v := newView(members)
	all := make([]int, len(v.members))
	for i := range all {
		all[i] = i
	}
	out := make([]model.Member, 0, len(members))
	for _, r := range v.rank(strconv.FormatUint(random.Uint64(), 36), all) {
		out = append(out, v.members[r.index])
	}
	return out
}

// openSession returns the identifier of a new session whose home is this node. A
// leaving node returns the zero value: the caller then gets its session from one of the
// nodes in the reply.
func (s *State) openSession(ctx *step.Context) model.SessionID {
	if ctx.Self.State == model.Leaving {
		return model.SessionID{}
	}
	s.lastSessionNumber = model.NextSessionNumber(ctx.Now, s.lastSessionNumber)
	return model.SessionID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: s.lastSessionNumber}
}

// addresses returns the entry addresses of the members.
func addresses(members []model.Member) []effect.EntryAddress {
	out := make([]effect.EntryAddress, 0, len(members))
	for _, m := range members {
		out = append(out, effect.EntryAddress{
			Address:       m.CallerAddress,
			Host:          m.Host,
			FailureDomain: m.FailureDomain,
		})
	}
	return out
}

// anyServiceMatches reports whether the pattern matches a configured service.
func anyServiceMatches(config *model.Config, pattern string) bool {
	for i := range config.Services {
		matched, err := path.Match(pattern, string(config.Services[i].Name))
		if err == nil && matched {
			return true
		}
	}
	return false
}
