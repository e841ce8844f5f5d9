package statement

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Visible returns the part of a configuration that an operator may see: all of
// it, or what belongs to the user that the operator is limited to.
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
	for _, conviction := range config.Blocks {
		if visible.Service(conviction.Service) != nil {
			visible.Blocks = append(visible.Blocks, conviction)
		}
	}
	return visible
}

// MayOperate reports whether an operator may ask or change anything: it is in
// force, or none is.
func MayOperate(config *model.Config, operator model.OperatorName) bool {
	isNamed := func(o model.Operator) bool { return o.Name == operator }
	return len(config.Operators) == 0 || slices.ContainsFunc(config.Operators, isNamed)
}

// UserOf returns the user that an operator is limited to; empty means all.
func UserOf(config *model.Config, operator model.OperatorName) model.UserID {
	i := slices.IndexFunc(config.Operators, func(o model.Operator) bool { return o.Name == operator })
	if i < 0 {
		return ""
	}
	return config.Operators[i].User
}
