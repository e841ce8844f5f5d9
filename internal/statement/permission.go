package statement

import (
	"fmt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// permission is a change that only checks: the operator may make all the
// following ones.
type permission struct {
	operator model.OperatorName
	changes  []Change
}

func (*permission) isChange() {}

// Permit returns a script whose application fails if it changes what the
// operator may not change, in the configuration that it is applied to. An empty
// operator is nobody: everything is permitted while no operator is configured.
func Permit(script Script, operator model.OperatorName) Script {
	check := &permission{operator: operator, changes: script.Changes}
	script.Changes = append([]Change{check}, script.Changes...)
	return script
}

// permit checks an operator's permission for the following changes.
func (e *editor) permit(p *permission) {
	if !MayOperate(e.config, p.operator) {
		e.fail(RuleForbidden, "there is no operator %q", p.operator)
		return
	}
	user := UserOf(e.config, p.operator)
	if user == "" {
		return
	}
	for _, change := range p.changes {
		if reason := e.forbids(user, p.operator, change); reason != "" {
			e.failAt(PositionOf(change), RuleForbidden, "operator %s is limited to user %s and may not %s", p.operator, user, reason)
		}
	}
}

// forbids returns what a change does that a user's operator may not do, or "".
func (e *editor) forbids(user model.UserID, operator model.OperatorName, change Change) string {
	switch c := change.(type) {
	case *CreateService:
		if model.UserID(c.User) != user {
			return fmt.Sprintf("create a service for user %s", c.User)
		}
		return ""
	case *RotateKey:
		if model.OperatorName(c.Name) != operator {
			return fmt.Sprintf("rotate the key of operator %s", c.Name)
		}
		return ""
	}
	pattern, ok := servicesOf(change)
	if !ok {
		return "change users, operators and hosts"
	}
	return e.forbidsServices(user, pattern)
}

// forbidsServices returns a reason when a pattern matches a service of another
// user. Conditions are left aside, so that they cannot be used to learn of other
// users' services.
func (e *editor) forbidsServices(user model.UserID, pattern Pattern) string {
	for i := range e.config.Services {
		service := &e.config.Services[i]
		if service.User != user && pattern.Match(string(service.Name)) {
			return "change services of other users"
		}
	}
	return ""
}
