package statement

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Visible returns the part of a configuration that an operator may see: the whole,
// or the objects of the user to which the operator is limited.
func Visible(config *model.Config, operator model.OperatorName) *model.Config {
	user := UserOf(config, operator)
	if user == "" {
		return config
	}
	visible := &model.Config{Revision: config.Revision, LeavingHosts: config.LeavingHosts}
	for _, u := range config.Users {
		if u.ID == user {
			visible.Users = append(visible.Users, u)
		}
	}
	for _, service := range config.Services {
		if service.User == user {
			visible.Services = append(visible.Services, service)
		}
	}
	for _, o := range config.Operators {
		if o.User == user {
			visible.Operators = append(visible.Operators, o)
		}
	}
	for _, block := range config.Blocks {
		if visible.Service(block.Service) != nil {
			visible.Blocks = append(visible.Blocks, block)
		}
	}
	return visible
}

// MayOperate reports whether an operator may run statements: it is configured, or no
// operators are configured.
func MayOperate(config *model.Config, operator model.OperatorName) bool {
	isNamed := func(o model.Operator) bool { return o.Name == operator }
	return len(config.Operators) == 0 || slices.ContainsFunc(config.Operators, isNamed)
}

// UserOf returns the user to which an operator is limited, or "" if it is not limited
// or unknown.
func UserOf(config *model.Config, operator model.OperatorName) model.UserID {
	i := slices.IndexFunc(config.Operators, func(o model.Operator) bool { return o.Name == operator })
	if i < 0 {
		return ""
	}
	return config.Operators[i].User
}
