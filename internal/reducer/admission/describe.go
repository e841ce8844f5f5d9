package admission

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// maxDescribed is the maximum number of users in a description.
const maxDescribed = 100

// Description describes the open requests of the node.
type Description struct {
	// Open is the number of open requests, where a request counts once for each of its
	// services. Limit is the maximum of Open.
	Open  int               `json:"open"`
	Limit int               `json:"limit"`
	Users []UserDescription `json:"users"`
}

// UserDescription describes the open requests of one user.
type UserDescription struct {
	User     model.UserID `json:"user"`
	Requests int          `json:"requests"`
	// Parts counts each open request once for each of the user's services in it.
	Parts int `json:"parts"`
}

// Describe returns a description with at most maxDescribed users, ordered by user.
func (s *State) Describe() Description {
	d := Description{Open: s.share.Total(), Limit: s.share.Limit(), Users: []UserDescription{}}
	for id, used := range s.users {
		d.Users = append(d.Users, UserDescription{User: id, Requests: used.open, Parts: s.share.Held(id)})
	}
	slices.SortFunc(d.Users, func(a, b UserDescription) int { return cmp.Compare(a.User, b.User) })
	d.Users = d.Users[:min(maxDescribed, len(d.Users))]
	return d
}
