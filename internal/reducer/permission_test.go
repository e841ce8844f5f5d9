package reducer

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// twoUsersConfig is a configuration with two users, who own one service each, an
// operator for all users and an operator for user a.
const twoUsersConfig = `create user a; create user b
create service one for a upstream u at 10.0.0.1:1 in d slots 1 connections 1
create service two for b upstream u at 10.0.0.2:1 in d slots 1 connections 1
create operator root key hash '` + testKeyHash + `'
create operator anna for a key hash '` + testKeyHash + `'`

// TestOperatorsAreLimitedToTheirUser checks that the reducer rejects statements of
// unknown operators and statements about another user's services.
func TestOperatorsAreLimitedToTheirUser(t *testing.T) {
	s := New(DefaultSettings(model.Member{Host: "h1", Incarnation: 1}))
	now := model.Instant(0)
	reduce := func(e event.Event) []effect.Effect {
		now++
		return s.Reduce(event.Envelope{Now: now, Random: 1, Event: e})
	}
	reduce(event.Start{})
	reduce(event.PeerMessage{From: "h2", Incarnation: 1, Message: message.LogEntries{
		Entries: []model.LogEntry{{Revision: 1, Change: "c", Text: twoUsersConfig}}, Latest: 1,
	}})
	for _, c := range []struct {
		operator model.OperatorName
		text     string
		want     model.Code
	}{
		{"root", "alter service * set rate 5", ""},
		{"anna", "alter service one set rate 5", ""},
		{"anna", "alter service two set rate 5", model.CodeForbidden},
		{"", "alter service one set rate 5", model.CodeForbidden},
		{"gone", "alter service one set rate 5", model.CodeForbidden},
		{"anna", "explain two", model.CodeUnknownService},
		{"gone", "show services", model.CodeForbidden},
		{"", "show services", model.CodeForbidden},
	} {
		got := model.Code("no reply")
		for _, e := range reduce(event.Statement{Call: 1, Operator: c.operator, Text: c.text, DryRun: true}) {
			reply, ok := e.(effect.ReplyStatement)
			switch {
			case ok && reply.Result.Failure != nil:
				got = reply.Result.Failure.Code
			case ok:
				got = ""
			}
		}
		if got != c.want {
			t.Errorf("operator %q, statement %q: got code %q, want %q", c.operator, c.text, got, c.want)
		}
	}
}
