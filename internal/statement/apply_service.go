package statement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// compareService orders services by name.
func compareService(service model.Service, name model.ServiceName) int {
	return cmp.Compare(service.Name, name)
}

// compareUpstream orders upstreams by identifier.
func compareUpstream(upstream model.Upstream, id model.UpstreamID) int {
	return cmp.Compare(upstream.ID, id)
}

// mutableService marks a service as changed and returns it for modification, or
// nil if it does not exist. Its upstreams are copied at the first call.
func (e *editor) mutableService(name model.ServiceName) *model.Service {
	service := e.config.Service(name)
	if service == nil {
		return nil
	}
	if _, copied := e.changedServices[name]; !copied {
		service.Upstreams = slices.Clone(service.Upstreams)
	}
	e.changedServices[name] = e.position
	return service
}

// createService adds a service with its upstreams.
func (e *editor) createService(c *CreateService) {
	e.setPosition(c.Pos)
	name := model.ServiceName(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Services, name, compareService)
	if found {
		e.fail(RuleDuplicate, "service %s already exists", name)
		return
	}
	service := model.Service{Name: name, User: model.UserID(c.User), Policy: model.DefaultPolicy()}
	setPolicy(&service.Policy, c.Options)
	e.config.Services = slices.Insert(e.config.Services, i, service)
	servicePosition := e.position
	e.changedServices[name] = servicePosition
	for _, upstream := range c.Upstreams {
		e.setPosition(upstream.Pos)
		e.addUpstream(name, model.NewUpstreamID(name, string(upstream.Name)), upstream.Options)
	}
	e.changedServices[name] = servicePosition
}

// alterService changes the matching services.
func (e *editor) alterService(c *AlterService) {
	e.setPosition(c.Pos)
	for _, name := range e.matchServices(c.Pattern, c.Where) {
		setPolicy(&e.mutableService(name).Policy, c.Options)
	}
}

// dropService removes the matching services and their blocks.
func (e *editor) dropService(c *DropService) {
	e.setPosition(c.Pos)
	for _, name := range e.matchServices(c.Pattern, c.Where) {
		e.config.Services = slices.DeleteFunc(e.config.Services, func(s model.Service) bool { return s.Name == name })
		e.config.Blocks = slices.DeleteFunc(e.config.Blocks, func(b model.Block) bool { return b.Service == name })
		delete(e.changedServices, name)
	}
}

// matchServices returns the services that match a pattern and conditions. It
// records a problem if there are none.
func (e *editor) matchServices(pattern Pattern, where *Where) []model.ServiceName {
	table, problem := where.Select(ServiceTable(e.config, pattern))
	if problem != nil {
		e.addProblem(problem)
		return nil
	}
	var names []model.ServiceName
	for _, row := range table.Rows {
		names = append(names, model.ServiceName(row[0]))
	}
	if len(names) == 0 {
		e.fail(RuleUnknown, "no service matches %s", pattern)
	}
	return names
}

// setPolicy sets options of a policy.
func setPolicy(policy *model.Policy, options []*ServiceOption) {
	wasRepeatable := policy.Repeatable
	for _, option := range options {
		switch {
		case option.Answer != nil:
			setAnswer(policy, option.Answer)
		case option.Deadline != nil:
			policy.Deadline = time.Duration(*option.Deadline)
		case option.Coverage != nil:
			policy.MinCoverage = model.Percent(*option.Coverage)
		case option.Repeat != nil:
			policy.Repeatable = bool(*option.Repeat)
		case option.Hedge != nil:
			policy.HedgeBudget = model.Percent(*option.Hedge)
		case option.Retry != nil:
			policy.RetryBudget = model.Percent(*option.Retry)
		case option.Canary != nil:
			policy.NoCanary = !bool(*option.Canary)
		case option.Refuse != nil:
			setRefuse(policy, option.Refuse)
		case option.Rate != nil:
			policy.RequestsPerSecond = float64(*option.Rate)
		}
	}
	applyHedgeDefault(policy, wasRepeatable, options)
}

// applyHedgeDefault sets the default hedge budget of a service that becomes
// repeatable, and no hedge budget for a service that is not repeatable. A budget in
// the statement itself takes precedence and is left to validation. The retry budget
// is kept in both cases, because an attempt that did not run may be retried.
func applyHedgeDefault(policy *model.Policy, wasRepeatable bool, options []*ServiceOption) {
	isExplicit := slices.ContainsFunc(options, func(o *ServiceOption) bool { return o.Hedge != nil })
	switch {
	case isExplicit || policy.Repeatable && wasRepeatable:
		return
	case policy.Repeatable:
		policy.HedgeBudget = model.DefaultHedgeBudget
	default:
		policy.HedgeBudget = 0
	}
}

// setAnswer sets the time at which a search answers early; zero means that it
// answers at the deadline.
func setAnswer(policy *model.Policy, option *AnswerOption) {
	policy.AnswerBy = 0
	if option.By != nil {
		policy.AnswerBy = time.Duration(*option.By)
	}
}

// setRefuse sets the limits of the queue for a slot: its length and the longest wait.
func setRefuse(policy *model.Policy, option *RefuseOption) {
	if option.Queue != nil {
		policy.QueueLimit = int(*option.Queue)
	}
	if option.Wait != nil {
		policy.QueueWait = time.Duration(*option.Wait)
	}
	if option.WaitOnly != nil {
		policy.QueueWait = time.Duration(*option.WaitOnly)
	}
}

// createUpstream adds an upstream to a service.
func (e *editor) createUpstream(c *CreateUpstream) {
	e.setPosition(c.Pos)
	id := model.UpstreamID(c.Name)
	e.addUpstream(id.Service(), id, c.Options)
}

// addUpstream adds an upstream with the given options to a service.
func (e *editor) addUpstream(name model.ServiceName, id model.UpstreamID, options []*UpstreamOption) {
	service := e.mutableService(name)
	if service == nil {
		e.fail(RuleUnknown, "there is no service %s", name)
		return
	}
	i, found := slices.BinarySearchFunc(service.Upstreams, id, compareUpstream)
	if found {
		e.fail(RuleDuplicate, "upstream %s already exists", id)
		return
	}
	upstream := model.Upstream{ID: id}
	e.changedUpstreams[id] = e.position
	setUpstream(&upstream, options)
	e.checkUpstream(&upstream)
	service.Upstreams = slices.Insert(service.Upstreams, i, upstream)
}

// checkUpstream records the required options that a new upstream lacks.
func (e *editor) checkUpstream(upstream *model.Upstream) {
	if upstream.Address == "" {
		e.fail(RuleMissing, "upstream %s: the address is missing (such as: at 10.0.0.1:9001)", upstream.ID)
	}
	if upstream.FailureDomain == "" {
		e.fail(RuleMissing, "upstream %s: the failure domain is missing (such as: in santiago-1)", upstream.ID)
	}
}

// setUpstream sets options of an upstream.
func setUpstream(upstream *model.Upstream, options []*UpstreamOption) {
	for _, option := range options {
		switch {
		case option.At != nil:
			upstream.Address = string(*option.At)
		case option.In != nil:
			upstream.FailureDomain = model.FailureDomain(*option.In)
		case option.Shard != nil:
			upstream.Shard = model.ShardID(*option.Shard)
		case option.Slots != nil:
			upstream.Slots = int(*option.Slots)
		case option.Connections != nil:
			upstream.MaxConnections = int(*option.Connections)
		case option.Draining:
			upstream.Draining = true
		}
	}
}

// alterUpstream changes the matching upstreams.
func (e *editor) alterUpstream(c *AlterUpstream) {
	e.setPosition(c.Pos)
	for _, id := range e.matchUpstreams(c.Pattern, c.Where) {
		setUpstream(e.mutableService(id.Service()).Upstream(id), c.Options)
		e.changedUpstreams[id] = e.position
	}
}

// dropUpstream removes the matching upstreams.
func (e *editor) dropUpstream(c *DropUpstream) {
	e.setPosition(c.Pos)
	for _, id := range e.matchUpstreams(c.Pattern, c.Where) {
		service := e.mutableService(id.Service())
		service.Upstreams = slices.DeleteFunc(service.Upstreams, func(u model.Upstream) bool { return u.ID == id })
	}
}

// drain drains or undrains upstreams or a host.
func (e *editor) drain(c *Drain) {
	e.setPosition(c.Pos)
	if c.Host != nil {
		e.drainHost(model.HostID(*c.Host), c.Undrain)
		return
	}
	for _, id := range e.matchUpstreams(*c.Upstream, c.Where) {
		e.mutableService(id.Service()).Upstream(id).Draining = !c.Undrain
	}
}

// drainHost drains or undrains an entry host. It is idempotent.
func (e *editor) drainHost(host model.HostID, undrain bool) {
	i, found := slices.BinarySearch(e.config.LeavingHosts, host)
	switch {
	case found && undrain:
		e.config.LeavingHosts = slices.Delete(e.config.LeavingHosts, i, i+1)
	case !found && !undrain:
		e.config.LeavingHosts = slices.Insert(e.config.LeavingHosts, i, host)
	}
}

// matchUpstreams returns the upstreams that match a pattern and conditions. It
// records a problem if there are none.
func (e *editor) matchUpstreams(pattern UpstreamPattern, where *Where) []model.UpstreamID {
	table, problem := where.Select(UpstreamTable(e.config, Pattern(pattern)))
	if problem != nil {
		e.addProblem(problem)
		return nil
	}
	var ids []model.UpstreamID
	for _, row := range table.Rows {
		ids = append(ids, model.UpstreamID(row[0]))
	}
	if len(ids) == 0 {
		e.fail(RuleUnknown, "no upstream matches %s", pattern)
	}
	return ids
}
