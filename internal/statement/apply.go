package statement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// ApplyAll is Apply, and reports all problems of the changes, ordered by
// statement and then by what is found when all were made. The configuration is
// nil when there are problems.
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
// makes them without judging them: a release with stricter rules must come to
// the configuration that the release before it had in force. Only what cannot
// be made, such as altering what is not there, is a failure.
func Replay(config *model.Config, changes []Change) (*model.Config, *model.Failure) {
	e := newEditor(config)
	e.replays = true
	for _, change := range changes {
		e.apply(change)
	}
	if len(e.problems) > 0 {
		return nil, e.problems[0].Failure()
	}
	return e.config, nil
}

// editor makes changes on a copy of a configuration. Parts that no change
// touches are shared with the original.
type editor struct {
	config *model.Config
	// touched holds the place of the last statement that changed a service; the
	// upstreams of a touched service are a copy.
	touched map[model.ServiceName]Position
	// upstreams holds the place of the last statement that changed an upstream.
	upstreams map[model.UpstreamID]Position
	// position is the place of the statement under way.
	position Position
	problems []*Problem
	// replays is true for changes that were accepted before.
	replays bool
}

// newEditor returns an editor of a copy.
func newEditor(config *model.Config) *editor {
	copied := *config
	copied.Users = slices.Clone(config.Users)
	copied.Services = slices.Clone(config.Services)
	copied.Operators = slices.Clone(config.Operators)
	copied.Blocks = slices.Clone(config.Blocks)
	copied.LeavingHosts = slices.Clone(config.LeavingHosts)
	return &editor{config: &copied, touched: make(map[model.ServiceName]Position), upstreams: make(map[model.UpstreamID]Position)}
}

// fail notes a problem at the statement under way.
func (e *editor) fail(rule Rule, format string, arguments ...any) {
	e.failAt(e.position, rule, format, arguments...)
}

// failAt notes a problem.
func (e *editor) failAt(position Position, rule Rule, format string, arguments ...any) {
	e.add(&Problem{Position: position, Rule: rule, Detail: fmt.Sprintf(format, arguments...)})
}

// add notes a problem. A rule that only judges is left aside in a replay.
func (e *editor) add(problem *Problem) {
	if e.replays && !problem.Rule.isStructural() {
		return
	}
	if len(e.problems) < maxProblems {
		e.problems = append(e.problems, problem)
	}
}

// at notes where the statement under way stands.
func (e *editor) at(p lexer.Position) { e.position = position(p) }

// apply makes one change.
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

// applyOther makes a change of operators or convictions.
func (e *editor) applyOther(change Change) {
	switch c := change.(type) {
	case *CreateOperator:
		e.createOperator(c)
	case *RotateKey:
		e.rotateKey(c)
	case *DropOperator:
		e.dropOperator(c)
	case *Convict:
		e.convict(c)
	case *Pardon:
		e.pardon(c)
	case *permission:
		e.permit(c)
	}
}

// createUser adds a user.
func (e *editor) createUser(c *CreateUser) {
	e.at(c.Pos)
	id := model.UserID(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Users, id, compareUser)
	if found {
		e.fail(RuleDuplicate, "user %s exists already", id)
		return
	}
	user := model.User{ID: id, Weight: model.DefaultUserWeight}
	setUser(&user, c.Options)
	e.config.Users = slices.Insert(e.config.Users, i, user)
	e.checkUser(&user)
}

// alterUser changes a user.
func (e *editor) alterUser(c *AlterUser) {
	e.at(c.Pos)
	user := e.config.User(model.UserID(c.Name))
	if user == nil {
		e.fail(RuleUnknown, "there is no user %s", c.Name)
		return
	}
	setUser(user, c.Options)
	e.checkUser(user)
}

// checkUser notes what is wrong with a user.
func (e *editor) checkUser(user *model.User) {
	if user.Weight < 1 {
		e.fail(RuleWeight, "user %s: the weight is at least 1", user.ID)
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

// dropUser removes a user that owns nothing.
func (e *editor) dropUser(c *DropUser) {
	e.at(c.Pos)
	id := model.UserID(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Users, id, compareUser)
	if !found {
		e.fail(RuleUnknown, "there is no user %s", id)
		return
	}
	if !e.replays && e.isUserInUse(id) {
		return
	}
	e.config.Users = slices.Delete(e.config.Users, i, i+1)
}

// isUserInUse notes what a user still has.
func (e *editor) isUserInUse(id model.UserID) bool {
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
	e.at(c.Pos)
	name := model.OperatorName(c.Name)
	i, found := slices.BinarySearchFunc(e.config.Operators, name, compareOperator)
	if found {
		e.fail(RuleDuplicate, "operator %s exists already", name)
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
	e.at(c.Pos)
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
	e.at(c.Pos)
	i, found := slices.BinarySearchFunc(e.config.Operators, model.OperatorName(c.Name), compareOperator)
	if !found {
		e.fail(RuleUnknown, "there is no operator %s", c.Name)
		return
	}
	e.config.Operators = slices.Delete(e.config.Operators, i, i+1)
}

// convict adds a conviction, or gives it another end.
func (e *editor) convict(c *Convict) {
	e.at(c.Pos)
	if e.config.Service(model.ServiceName(c.Service)) == nil {
		e.fail(RuleUnknown, "there is no service %s", c.Service)
		return
	}
	conviction := model.Block{Service: model.ServiceName(c.Service), Fingerprint: model.Fingerprint(c.Fingerprint)}
	if c.For != nil {
		e.fail(RuleMissing, "a duration must be resolved to a time before the change is applied")
		return
	}
	if c.Until != nil {
		conviction.Until = model.Instant(*c.Until)
	}
	i, found := slices.BinarySearchFunc(e.config.Blocks, conviction, compareConviction)
	if found {
		e.config.Blocks[i] = conviction
		return
	}
	e.config.Blocks = slices.Insert(e.config.Blocks, i, conviction)
}

// pardon removes a conviction. One that is not in the configuration may still
// be held by the nodes on their own evidence, so its absence is no problem.
func (e *editor) pardon(c *Pardon) {
	e.at(c.Pos)
	conviction := model.Block{Service: model.ServiceName(c.Service), Fingerprint: model.Fingerprint(c.Fingerprint)}
	i, found := slices.BinarySearchFunc(e.config.Blocks, conviction, compareConviction)
	if found {
		e.config.Blocks = slices.Delete(e.config.Blocks, i, i+1)
	}
	e.config.Unblocks = addPardon(e.config.Unblocks, model.Unblock{
		Service:     conviction.Service,
		Fingerprint: conviction.Fingerprint,
		Revision:    e.config.Revision + 1,
	})
}

// maxPardons bounds the pardons that the configuration remembers. The nodes'
// own convictions lapse, so that an old pardon has nothing left to lift.
const maxPardons = 100

// addPardon returns the pardons with a new one, which replaces an earlier one of
// the same content.
func addPardon(pardons []model.Unblock, added model.Unblock) []model.Unblock {
	kept := make([]model.Unblock, 0, len(pardons)+1)
	for _, p := range pardons {
		if p.Service != added.Service || p.Fingerprint != added.Fingerprint {
			kept = append(kept, p)
		}
	}
	if len(kept) >= maxPardons {
		kept = kept[len(kept)-maxPardons+1:]
	}
	return append(kept, added)
}

// compareUser orders users by identifier.
func compareUser(user model.User, id model.UserID) int { return cmp.Compare(user.ID, id) }

// compareOperator orders operators by name.
func compareOperator(operator model.Operator, name model.OperatorName) int {
	return cmp.Compare(operator.Name, name)
}

// compareConviction orders convictions by service and fingerprint.
func compareConviction(a, b model.Block) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
