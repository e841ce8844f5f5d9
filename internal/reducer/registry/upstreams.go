package registry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// upstreams is the view of the registered upstreams.
type upstreams struct {
	// lastRead is the newest list read from the registry, by this node or another, and
	// hash identifies its contents. Only this list is shared with other nodes.
	lastRead []model.Registration
	hash     uint64
	// byID holds the registrations in use: those of lastRead, and those kept after an
	// outage because their upstreams may register again.
	byID map[model.UpstreamID]model.Registration
	// list holds the registrations of byID, ordered by identifier.
	list []model.Registration
	// keepMissingUntil is the time until which registrations that are missing after an
	// outage are kept, zero if none are. kept holds those that were in use before the outage and
	// that no list has contained since, until that time.
	keepMissingUntil model.Instant
	kept             map[model.UpstreamID]model.Registration
	// seen holds the newest entry of each instance.
	seen map[string]*seenEntry
}

func newUpstreams() upstreams {
	return upstreams{byID: make(map[model.UpstreamID]model.Registration), seen: make(map[string]*seenEntry)}
}

// Upstreams returns the registrations in use, ordered by identifier. Callers must not
// modify the slice.
func (s *State) Upstreams() []model.Registration { return s.upstreams.list }

// UpstreamsAge returns how long ago the upstreams were last known to be current.
func (s *State) UpstreamsAge(now model.Instant) time.Duration {
	return now.Sub(s.tasks[taskUpstreams].confirmedAt)
}

// RefreshUpstreams reads the upstreams now, even if updates from another node are
// current.
func (s *State) RefreshUpstreams(ctx *step.Context) {
	s.sharing.sharedUntil[taskUpstreams] = 0
	s.startCall(ctx, taskUpstreams)
}

// merge returns the newest list with the changes that a watch has reported.
func (u *upstreams) merge(changed []model.Registration, removed []string) []model.Registration {
	if len(changed) == 0 && len(removed) == 0 {
		return u.lastRead
	}
	byInstance := make(map[string]model.Registration, len(u.lastRead)+len(changed))
	for _, registration := range u.lastRead {
		byInstance[registration.Instance] = registration
	}
	for _, registration := range changed {
		byInstance[registration.Instance] = registration
	}
	for _, instance := range removed {
		delete(byInstance, instance)
	}
	return slices.SortedFunc(maps.Values(byInstance), func(a, b model.Registration) int { return cmp.Compare(a.Instance, b.Instance) })
}

// applyUpstreams applies a list that this node or another read from the registry at
// readAt. A missing registration is removed, except for a while after an outage of the
// store, in which registrations of live upstreams may have expired. It reports whether
// the registrations in use have changed.
func (s *State) applyUpstreams(ctx *step.Context, read []model.Registration, readAt model.Instant) bool {
	u := &s.upstreams
	until, firstOfEra := s.takeFirstOfEra()
	afterOutage := !firstOfEra && s.isAfterOutage(ctx.Now, readAt)
	if afterOutage {
		until = ctx.Now.Add(s.settings.ReregisterTime)
	}
	if firstOfEra || afterOutage {
		u.keepMissingUntil = until
		u.kept = maps.Clone(u.byID)
		ctx.After(max(0, until.Sub(ctx.Now)), timer.Registry, keptUpstreamsTimer)
	}
	u.lastRead = u.dropOutdated(ctx, read)
	u.hash = hashRegistrations(u.lastRead)
	changed := u.use(ctx.Now)
	switch {
	case firstOfEra:
		s.logInStep(ctx)
	case afterOutage:
		s.logKept(ctx, readAt)
	}
	return changed
}

// isAfterOutage reports whether the store may have been away for so long before readAt that
// registrations have expired. The time since the last list does not tell that alone: the node
// may just have started, or have had no reason to ask. The store must have left calls unanswered.
func (s *State) isAfterOutage(now, readAt model.Instant) bool {
	task := &s.tasks[taskUpstreams]
	gap := time.Duration(outagePollIntervals * float64(s.settings.PollInterval))
	isSilent := task.silentSince != 0 && now.Sub(task.silentSince) >= minSilence
	return isSilent && task.confirmedAt != 0 && readAt.Sub(s.upstreamsKnownAt()) > gap
}

// upstreamsKnownAt returns when the node last knew that the store answers: when its list was last
// confirmed or, if that list comes from a stale read of unknown age, when any call was answered.
func (s *State) upstreamsKnownAt() model.Instant {
	if task := &s.tasks[taskUpstreams]; !task.stale {
		return task.confirmedAt
	}
	return s.answeredAt
}

// logInStep logs that the first list of an era is in use.
func (s *State) logInStep(ctx *step.Context) {
	ctx.Log(effect.Info, component, "upstreams known in the new era",
		effect.Field{Name: "era", Value: strconv.FormatUint(s.era.number, 10)},
		effect.Field{Name: "elapsed", Value: ctx.Now.Sub(s.era.heardAt).String()},
		effect.Field{Name: "upstreams", Value: strconv.Itoa(len(s.upstreams.lastRead))},
		effect.Field{Name: "kept", Value: strconv.Itoa(len(s.upstreams.kept))},
		effect.Field{Name: "kept_for", Value: s.upstreams.keepMissingUntil.Sub(ctx.Now).String()},
		effect.Field{Name: "reports_pending", Value: strconv.Itoa(len(s.reports))})
}

// logKept logs that missing registrations are kept after an outage.
func (s *State) logKept(ctx *step.Context, readAt model.Instant) {
	task := &s.tasks[taskUpstreams]
	ctx.Log(effect.Warning, component, "missing upstreams kept",
		effect.Field{Name: "missing", Value: strconv.Itoa(len(s.upstreams.kept))},
		effect.Field{Name: "gap", Value: readAt.Sub(s.upstreamsKnownAt()).String()},
		effect.Field{Name: "stale", Value: strconv.FormatBool(task.stale)},
		effect.Field{Name: "silent", Value: ctx.Now.Sub(task.silentSince).String()})
}

// dropKeptUpstreams removes the registrations that are still missing after an outage. The
// next result of the registry may come too late for that: an upstream whose registration
// was removed on purpose stops soon after.
func (s *State) dropKeptUpstreams(ctx *step.Context) bool {
	if ctx.Now < s.upstreams.keepMissingUntil {
		return false
	}
	return s.upstreams.use(ctx.Now)
}

// use puts the newest list in use, together with the missing registrations that are kept.
// It reports whether the registrations in use have changed.
func (u *upstreams) use(now model.Instant) bool {
	read := u.lastRead
	next := make(map[model.UpstreamID]model.Registration, len(read))
	for _, registration := range read {
		// Each heartbeat has another sequence, which is no change to the users of the list.
		registration.Sequence = 0
		next[registration.Upstream.ID] = registration
	}
	if now < u.keepMissingUntil {
		// One that goes missing after it was found again has left, not expired.
		maps.DeleteFunc(u.kept, func(id model.UpstreamID, _ model.Registration) bool {
			_, found := next[id]
			return found
		})
		addMissing(next, u.kept)
	} else {
		u.kept = nil
	}
	if maps.Equal(next, u.byID) {
		return false
	}
	u.byID = next
	u.list = sortedRegistrations(next)
	return true
}

// sortedRegistrations returns the registrations ordered by identifier.
func sortedRegistrations(known map[model.UpstreamID]model.Registration) []model.Registration {
	return slices.SortedFunc(maps.Values(known), func(a, b model.Registration) int {
		return cmp.Compare(a.Upstream.ID, b.Upstream.ID)
	})
}

// addMissing adds the known registrations that a read lacks, except for upstreams that
// were draining or whose address now belongs to another registration.
func addMissing(read, known map[model.UpstreamID]model.Registration) {
	usedAddresses := make(map[string]bool, len(read))
	for _, registration := range read {
		usedAddresses[registration.Upstream.Address] = true
	}
	for id, registration := range known {
		if _, found := read[id]; !found && !registration.Upstream.Draining && !usedAddresses[registration.Upstream.Address] {
			read[id] = registration
		}
	}
}
