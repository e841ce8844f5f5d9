package statement

import "strings"

// Subject is the kind of object that a show statement lists.
type Subject string

// The subjects of show statements.
const (
	Services    Subject = "services"
	Upstreams   Subject = "upstreams"
	Users       Subject = "users"
	Operators   Subject = "operators"
	Limits      Subject = "limits"
	Config      Subject = "config"
	InForce     Subject = "inforce"
	ChangeState Subject = "change"
	History     Subject = "history"
	Sessions    Subject = "sessions"
	Convictions Subject = "convictions"
	Members     Subject = "members"
	Budgets     Subject = "budgets"
)

// Capture implements participle.Capture.
func (s *Subject) Capture(words []string) error {
	*s = Subject(strings.ToLower(words[0]))
	return nil
}

func (*CreateUser) isChange()     {}
func (*AlterUser) isChange()      {}
func (*DropUser) isChange()       {}
func (*CreateService) isChange()  {}
func (*AlterService) isChange()   {}
func (*DropService) isChange()    {}
func (*CreateUpstream) isChange() {}
func (*AlterUpstream) isChange()  {}
func (*DropUpstream) isChange()   {}
func (*Drain) isChange()          {}
func (*CreateOperator) isChange() {}
func (*RotateKey) isChange()      {}
func (*DropOperator) isChange()   {}
func (*Convict) isChange()        {}
func (*Pardon) isChange()         {}
func (*Show) isQuestion()         {}
func (*Explain) isQuestion()      {}
