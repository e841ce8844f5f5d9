package config

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of synchronisation.
const (
	// listenTime is how long a starting node listens for peers before it counts
	// how many of them it has to ask.
	listenTime = 1 * time.Second
	// enoughPeers is how many peers' answers stand in for the store. With fewer
	// members alive, all of them must answer.
	enoughPeers = 8
	// resumeWait bounds how long a node that was paused holds back new work.
	resumeWait = 3 * time.Second
	// peerSilence is the time without any peer after which a node watches the
	// store itself.
	peerSilence = 2 * time.Second
	// isolationWait is the time without the store and any peer after which a node
	// that has peers starts no new work.
	isolationWait = 10 * time.Second
	// askInterval is the time between two rounds of asking peers.
	askInterval = 500 * time.Millisecond
)

// synchronisation decides whether the node's configuration is recent enough.
type synchronisation struct {
	// synced is true once the node has read the store, or asked enough peers.
	synced bool
	// catchingUp is true after a pause, until the same again or resumeWait.
	catchingUp bool
	isolated   bool
	// since is when the present synchronisation began.
	since model.Instant
	// asked is when peers were last asked.
	asked model.Instant
	// witnesses are the peers that have answered and whose revision is applied.
	witnesses map[model.HostID]bool
	lastPeer  model.Instant
	lastStore model.Instant
}

// ready reports whether the node may start new work.
func (y *synchronisation) ready() bool { return y.synced && !y.catchingUp && !y.isolated }

// start begins the first synchronisation.
func (y *synchronisation) start(now model.Instant) {
	*y = synchronisation{since: now, lastPeer: now, lastStore: now, witnesses: make(map[model.HostID]bool)}
}

// resume begins another synchronisation after a pause.
func (y *synchronisation) resume(now model.Instant) {
	y.catchingUp = y.synced
	y.since = now
	y.asked = 0
	y.lastPeer = now
	y.lastStore = now
	y.isolated = false
	clear(y.witnesses)
}

// busy reports whether a synchronisation is under way.
func (y *synchronisation) busy() bool { return !y.synced || y.catchingUp }

// readDone ends the synchronisation: the store has the newest log.
func (y *synchronisation) readDone() { y.finish() }

// finish ends the synchronisation.
func (y *synchronisation) finish() {
	y.synced = true
	y.catchingUp = false
}

// answered counts a peer as a witness once the node has applied what the peer
// has. A peer without a configuration is none.
func (y *synchronisation) answered(from model.HostID, latest, applied model.Revision) {
	if y.busy() && latest > 0 && latest <= applied {
		y.witnesses[from] = true
	}
}

// heardPeer and heardStore note when the node last heard either.
func (y *synchronisation) heardPeer(now model.Instant)  { y.lastPeer = now }
func (y *synchronisation) heardStore(now model.Instant) { y.lastStore = now }

// hearsPeers reports whether any peer was heard of late.
func (y *synchronisation) hearsPeers(now model.Instant) bool {
	return now.Sub(y.lastPeer) < peerSilence
}

// stepSync asks peers while a synchronisation is under way, and notices when
// the node is cut off.
func (s *State) stepSync(ctx *step.Context) {
	y := &s.sync
	s.noticeIsolation(ctx)
	if !y.busy() {
		return
	}
	if y.catchingUp && ctx.Now.Sub(y.since) >= resumeWait {
		ctx.Log(effect.Warning, "config", "resumed without news from the store or peers")
		y.finish()
		return
	}
	if ctx.Now.Sub(y.since) < listenTime && !y.catchingUp {
		return
	}
	s.askPeers(ctx)
	s.countWitnesses(ctx)
}

// askPeers asks all members, or a random choice when there are many.
func (s *State) askPeers(ctx *step.Context) {
	if s.sync.asked != 0 && ctx.Now.Sub(s.sync.asked) < askInterval {
		return
	}
	s.sync.asked = ctx.Now
	for _, host := range s.pickPeers(ctx, enoughPeers, "") {
		ctx.Send(host, message.LogPull{After: s.history.applied()})
	}
}

// countWitnesses ends the synchronisation when enough peers have answered.
func (s *State) countWitnesses(ctx *step.Context) {
	candidates := 0
	for _, member := range ctx.View.Members() {
		isOther := member.Host != ctx.Self.Host
		if isOther && (member.State == model.Serving || member.State == model.Leaving) {
			candidates++
		}
	}
	needed := max(1, min(enoughPeers, candidates))
	if len(s.sync.witnesses) < needed {
		return
	}
	ctx.Log(effect.Info, "config", "synchronised from peers")
	s.sync.finish()
}

// noticeIsolation holds new work back when the node has heard neither the store
// nor any peer for long, although it knows of other hosts: they may have
// accepted changes since. A node that is alone by configuration goes on.
func (s *State) noticeIsolation(ctx *step.Context) {
	y := &s.sync
	silent := ctx.Now.Sub(max(y.lastPeer, y.lastStore)) >= isolationWait
	isolated := silent && s.hosts.Others() > 0
	switch {
	case isolated && !y.isolated:
		y.isolated = true
		ctx.Log(effect.Warning, "config", "cut off from the store and all peers")
	case !isolated && y.isolated:
		ctx.Log(effect.Warning, "config", "no longer cut off: catching up")
		s.HandleResume(ctx)
	}
}
