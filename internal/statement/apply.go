package statement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// ApplyAll is like Apply but reports all problems, up to maxProblems: those of the
// single statements in their order or, if there are none, those of the resulting
// configuration. The returned configuration is nil if there are problems.
func ApplyAll(config *model.Config, changes []Change) (*model.Config, []*Problem) {
	e := newEditor(config)
	for _, change := range changes {
		e.apply(change)
	}
	if len(e.problems) == 0 {
		e.validate(config)
	}
	if len(e.problems) > 0 {
		return nil, e.problems
	}
	return e.config, nil
}

// Replay returns the configuration after changes that were accepted before. It
// does not validate them: a release with stricter rules must arrive at the same
// configuration that the previous release had in force. Only a change that cannot
// be carried out, such as altering an unknown service, is a failure.
func Replay(config *model.Config, changes []Change) (*model.Config, *model.Failure) {
	e := newEditor(config)
	e.isReplay = true
	for _, change := range changes {
		e.apply(change)
	}
	if len(e.problems) > 0 {
		return nil, e.problems[0].Failure()
	}
	return e.config, nil
}

// editor applies changes to a copy of a configuration. Unchanged parts are shared
// with the original.
type editor struct {
	config *model.Config
	// changedServices maps a changed service to the position of the last statement
	// that changed it. The upstreams of a changed service are a copy.
	changedServices map[model.ServiceName]Position
	// changedUpstreams maps a changed upstream to the position of the last statement
	// that changed it.
	changedUpstreams map[model.UpstreamID]Position
	// position is the position of the current statement.
	position Position
	problems []*Problem
	// isReplay is true if the changes were accepted before; see Replay.
	isReplay bool
}

// newEditor returns an editor of a copy of a configuration.
func newEditor(config *model.Config) *editor {
	copied := *config
	copied.Users = slices.Clone(config.Users)
	copied.Services = slices.Clone(config.Services)
	copied.Operators = slices.Clone(config.Operators)
	copied.Blocks = slices.Clone(config.Blocks)
	copied.LeavingHosts = slices.Clone(config.LeavingHosts)
	return &editor{config: &copied, changedServices: make(map[model.ServiceName]Position), changedUpstreams: make(map[model.UpstreamID]Position)}
}

// fail records a problem at the current statement.
func (e *editor) fail(rule Rule, format string, arguments ...any) {
	e.failAt(e.position, rule, format, arguments...)
}

// failAt records a problem at a position.
func (e *editor) failAt(position Position, rule Rule, format string, arguments ...any) {
	e.addProblem(&Problem{Position: position, Rule: rule, Detail: fmt.Sprintf(format, arguments...)})
}

// addProblem records a problem, up to maxProblems. A replay ignores all rules but
// the structural ones.
func (e *editor) addProblem(problem *Problem) {
	if e.isReplay && !problem.Rule.isStructural() {
		return
	}
	if len(e.problems) < maxProblems {
		e.problems = append(e.problems, problem)
	}
}

// setPosition sets the position of the current statement.
func (e *editor) setPosition(p lexer.Position) { e.position = position(p) }

// apply applies one change.
func (e *editor) apply(change Change) {
	switch c := change.(type) {
	case *CreateUser:
		e.createUser(c)
	case *AlterUser:
		e.alterUser(c)
	case *DropUser:
		e.dropUser(c)
	case *CreateService:
		e.createService(c)
	case *AlterService:
		e.alterService(c)
	case *DropService:
		e.dropService(c)
	case *CreateUpstream:
		e.createUpstream(c)
	case *AlterUpstream:
		e.alterUpstream(c)
	case *DropUpstream:
		e.dropUpstream(c)
	case *Drain:
		e.drain(c)
	default:
		e.applyOther(change)
	}
}

// applyOther applies a change to operators or blocks, or a permission check.
func (e *editor) applyOther(change Change) {
	switch c := change.(type) {
	case *CreateOperator:
		e.createOperator(c)
	case *RotateKey:
		e.rotateKey(c)
	case *DropOperator:
		e.dropOperator(c)
	case *Convict:
		e.addBlock(c)
	case *Pardon:
		e.removeBlock(c)
	case *permission:
		e.checkPermission(c)
	}
}

// createUser adds a user.
func (e *editor) createUser(c *CreateUser) {
	e.setPosition(c.Pos)
	id := model.UserID(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Users, id, compareUser)
	if found {
		e.fail(RuleDuplicate, "user %s already exists", id)
		return
	}
	user := model.User{ID: id, Weight: model.DefaultUserWeight}
	setUser(&user, c.Options)
	e.config.Users = slices.Insert(e.config.Users, i, user)
	e.checkUser(&user)
}

// alterUser changes a user.
func (e *editor) alterUser(c *AlterUser) {
	e.setPosition(c.Pos)
	user := e.config.User(model.UserID(c.Name))
	if user == nil {
		e.fail(RuleUnknown, "there is no user %s", c.Name)
		return
	}
	setUser(user, c.Options)
	e.checkUser(user)
}

// checkUser validates a user's settings.
func (e *editor) checkUser(user *model.User) {
	if user.Weight < 1 {
		e.fail(RuleWeight, "user %s: the weight must be at least 1", user.ID)
	}
}

// setUser sets options of a user.
func setUser(user *model.User, options []*UserOption) {
	for _, option := range options {
		switch {
		case option.Weight != nil:
			user.Weight = int(*option.Weight)
		case option.Rate != nil:
			user.RequestsPerSecond = float64(*option.Rate)
		case option.InFlight != nil:
			user.MaxInFlight = int(*option.InFlight)
		}
	}
}

// dropUser removes a user that has neither services nor operators.
func (e *editor) dropUser(c *DropUser) {
	e.setPosition(c.Pos)
	id := model.UserID(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Users, id, compareUser)
	if !found {
		e.fail(RuleUnknown, "there is no user %s", id)
		return
	}
	if !e.isReplay && e.failIfUserInUse(id) {
		return
	}
	e.config.Users = slices.Delete(e.config.Users, i, i+1)
}

// failIfUserInUse reports whether a user still has a service or an operator, and
// records a problem if so.
func (e *editor) failIfUserInUse(id model.UserID) bool {
	for i := range e.config.Services {
		if e.config.Services[i].User == id {
			e.fail(RuleInUse, "user %s still has the service %s", id, e.config.Services[i].Name)
			return true
		}
	}
	for _, operator := range e.config.Operators {
		if operator.User == id {
			e.fail(RuleInUse, "user %s still has the operator %s", id, operator.Name)
			return true
		}
	}
	return false
}

// createOperator adds an operator.
func (e *editor) createOperator(c *CreateOperator) {
	e.setPosition(c.Pos)
	name := model.OperatorName(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Operators, name, compareOperator)
	if found {
		e.fail(RuleDuplicate, "operator %s already exists", name)
		return
	}
	operator := model.Operator{Name: name, KeyHash: string(c.Hash)}
	if c.User != nil {
		operator.User = model.UserID(*c.User)
	}
	e.checkKeyHash(operator.KeyHash)
	e.config.Operators = slices.Insert(e.config.Operators, i, operator)
}

// rotateKey replaces an operator's key.
func (e *editor) rotateKey(c *RotateKey) {
	e.setPosition(c.Pos)
	i, found := slices.BinarySearchFunc(e.config.Operators, model.OperatorName(c.Name), compareOperator)
	if !found {
		e.fail(RuleUnknown, "there is no operator %s", c.Name)
		return
	}
	e.checkKeyHash(string(c.Hash))
	e.config.Operators[i].KeyHash = string(c.Hash)
}

// dropOperator removes an operator.
func (e *editor) dropOperator(c *DropOperator) {
	e.setPosition(c.Pos)
	i, found := slices.BinarySearchFunc(e.config.Operators, model.OperatorName(c.Name), compareOperator)
	if !found {
		e.fail(RuleUnknown, "there is no operator %s", c.Name)
		return
	}
	e.config.Operators = slices.Delete(e.config.Operators, i, i+1)
}

// addBlock blocks request content, or changes the expiry of its block.
func (e *editor) addBlock(c *Convict) {
	e.setPosition(c.Pos)
	if e.config.Service(model.ServiceName(c.Service)) == nil {
		e.fail(RuleUnknown, "there is no service %s", c.Service)
		return
	}
	block := model.Block{Service: model.ServiceName(c.Service), Fingerprint: model.Fingerprint(c.Fingerprint)}
	if c.For != nil {
		e.fail(RuleMissing, "a duration must be resolved to a time before the change is applied")
		return
	}
	if c.Until != nil {
		block.Until = model.Instant(*c.Until)
	}
	i, found := slices.BinarySearchFunc(e.config.Blocks, block, compareBlock)
	if found {
		e.config.Blocks[i] = block
		return
	}
	e.config.Blocks = slices.Insert(e.config.Blocks, i, block)
}

// removeBlock unblocks request content. The nodes may have blocked it on their own
// evidence, so it is not a problem if the configuration has no such block.
func (e *editor) removeBlock(c *Pardon) {
	e.setPosition(c.Pos)
	block := model.Block{Service: model.ServiceName(c.Service), Fingerprint: model.Fingerprint(c.Fingerprint)}
	i, found := slices.BinarySearchFunc(e.config.Blocks, block, compareBlock)
	if found {
		e.config.Blocks = slices.Delete(e.config.Blocks, i, i+1)
	}
	e.config.Unblocks = addUnblock(e.config.Unblocks, model.Unblock{
		Service:     block.Service,
		Fingerprint: block.Fingerprint,
		Revision:    e.config.Revision + 1,
	})
}

// maxUnblocks bounds the unblocks that the configuration keeps. The nodes' own
// blocks expire, so an old unblock no longer has an effect.
const maxUnblocks = 100

// addUnblock returns the unblocks with a new one, which replaces an earlier one of
// the same content. The oldest is dropped when there are maxUnblocks.
func addUnblock(unblocks []model.Unblock, added model.Unblock) []model.Unblock {
	kept := make([]model.Unblock, 0, len(unblocks)+1)
	for _, u := range unblocks {
		if u.Service != added.Service || u.Fingerprint != added.Fingerprint {
			kept = append(kept, u)
		}
	}
	if len(kept) >= maxUnblocks {
		kept = kept[len(kept)-maxUnblocks+1:]
	}
	return append(kept, added)
}

// compareUser orders users by identifier.
func compareUser(user model.User, id model.UserID) int { return cmp.Compare(user.ID, id) }

// compareOperator orders operators by name.
func compareOperator(operator model.Operator, name model.OperatorName) int {
	return cmp.Compare(operator.Name, name)
}

// compareBlock orders blocks by service and fingerprint.
func compareBlock(a, b model.Block) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
