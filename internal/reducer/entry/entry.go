// Package entry places work on nodes by weighted rendezvous hashing: which nodes callers
// of a service should use, and which nodes dispatch for an upstream. Placement
// is a hint computed from a view that may be stale; no promise rests on it.
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

// Settings bounds placement.
type Settings struct {
	// SubsetSize is how many nodes serve the callers of one service.
	SubsetSize int
	// Dispatchers is how many nodes hold connections to one upstream.
	Dispatchers int
	// TTL is how long a caller may keep an entry answer.
	TTL time.Duration
}

// Default settings.
const (
	DefaultSubsetSize  = 4
	DefaultDispatchers = 1
	DefaultTTL         = 5 * time.Second
)

// State numbers the sessions that the node opens.
type State struct {
	settings Settings
	// opened is the number of the last session that this node opened.
	opened uint64
	// view is what was worked out of the latest view of the members.
	view *view
}

// New returns a state that has opened no session.
func New(settings Settings) *State { return &State{settings: settings} }

// Settings returns the settings in use.
func (s *State) Settings() Settings { return s.settings }

// Opened returns the number of the last session that this node opened; zero if
// there is none.
func (s *State) Opened() uint64 { return s.opened }

// HandleEntry answers a caller's question which addresses to use. A pattern is
// placed by its own text, so that all callers of one pattern use the same nodes.
// The nodes come in a random order in each answer, weighted like their
// placement, because callers use the first one: they would all go to one node.
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

// shuffle orders the members at random: a member comes first with a probability
// that is proportional to its weight.
func shuffle(random *rand.Rand, members []model.Member) []model.Member {
	v := newView(members)
	all := make([]int, len(v.members))
	for i := range all {
		all[i] = i
	}
	out := make([]model.Member, 0, len(members))
	for _, r := range v.rank(strconv.FormatUint(random.Uint64(), 36), all) {
		out = append(out, v.members[r.at])
	}
	return out
}

// openSession names a new session with this node as its home. A leaving node
// opens none: the caller gets its session from a node in the answer.
func (s *State) openSession(ctx *step.Context) model.SessionID {
	if ctx.Self.State == model.Leaving {
		return model.SessionID{}
	}
	s.opened = model.NextSessionNumber(ctx.Now, s.opened)
	return model.SessionID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: s.opened}
}

// addresses returns what callers need of the members.
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

// anyServiceMatches reports whether the pattern names a configured service.
func anyServiceMatches(config *model.Config, pattern string) bool {
	for i := range config.Services {
		matched, err := path.Match(pattern, string(config.Services[i].Name))
		if err == nil && matched {
			return true
		}
	}
	return false
}
