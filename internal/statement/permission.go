package statement

import (
	"fmt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// permission is a pseudo-change that fails if an operator may not make all of the
// changes that follow it.
type permission struct {
	operator model.OperatorName
	changes  []Change
}

func (*permission) isChange() {}

// Permit returns a script whose application fails if the operator may not make one
// of its changes. The permissions are those of the configuration to which the script
// is applied. An empty operator stands for an unauthenticated caller, who may change
// everything while no operator is configured.
func Permit(script Script, operator model.OperatorName) Script {
	check := &permission{operator: operator, changes: script.Changes}
	script.Changes = append([]Change{check}, script.Changes...)
	return script
}

// checkPermission records a problem for each change that the operator may not make.
func (e *editor) checkPermission(p *permission) {
	if !MayOperate(e.config, p.operator) {
		e.fail(RuleForbidden, "there is no operator %q", p.operator)
		return
	}
	user := UserOf(e.config, p.operator)
	if user == "" {
		return
	}
	for _, change := range p.changes {
		if action := e.forbiddenAction(user, p.operator, change); action != "" {
			e.failAt(PositionOf(change), RuleForbidden, "operator %s is limited to user %s and may not %s", p.operator, user, action)
		}
	}
}

// forbiddenAction describes the action of a change that an operator limited to a user
// may not make. It returns "" if the operator may make the change.
func (e *editor) forbiddenAction(user model.UserID, operator model.OperatorName, change Change) string {
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
	pattern, ok := servicePattern(change)
	if !ok {
		return "change users, operators and hosts"
	}
	return e.forbiddenServices(user, pattern)
}

// forbiddenServices describes the forbidden action if a pattern matches a service of
// another user, or returns "". Conditions are ignored, so that they cannot be used to
// learn about other users' services.
func (e *editor) forbiddenServices(user model.UserID, pattern Pattern) string {
	for i := range e.config.Services {
		service := &e.config.Services[i]
		if service.User != user && pattern.Match(string(service.Name)) {
			return "change services of other users"
		}
	}
	return ""
}
