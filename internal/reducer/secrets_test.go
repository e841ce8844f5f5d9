package reducer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// testKeyHash is the bcrypt hash of a key that is used nowhere else.
const testKeyHash = "$2a$10$PgOXo90/3vWys4CJ2wam6eizFl9pKbTc1TGfk8glVSXAyrsojWpua"

// TestKeyHashesAreNotExposed checks that operators' key hashes appear neither in
// state dumps nor in log lines nor in replies to statements.
func TestKeyHashesAreNotExposed(t *testing.T) {
	s := New(DefaultSettings(model.Member{Host: "h1", Incarnation: 1}))
	var effects []effect.Effect
	entry := model.LogEntry{Revision: 1, Change: "c", Text: "create operator root key hash '" + testKeyHash + "'"}
	events := []event.Event{
		event.Start{},
		event.PeerMessage{From: "h2", Incarnation: 1, Message: message.Digest{Member: model.Member{Host: "h2", Incarnation: 1, Revision: 1}, Sequence: 1}},
		event.PeerMessage{From: "h2", Incarnation: 1, Message: message.LogEntries{Entries: []model.LogEntry{entry}, Latest: 1}},
		event.DumpRequest{Call: 1},
		event.Statement{Call: 2, Operator: "root", Text: "show config; show operators; show history"},
		event.Statement{Call: 3, Operator: "root", Text: "create operator other key hash '" + testKeyHash + "'", DryRun: true},
		event.Statement{Call: 4, Operator: "root", Text: "create operator root key hash '" + testKeyHash + "'", DryRun: true},
		event.Statement{Call: 5, Operator: "root", Text: "create operator 'x' key hash '" + testKeyHash + "'"},
	}
	for i, e := range events {
		effects = append(effects, s.Reduce(event.Envelope{Now: model.Instant(i + 2), Random: 1, Event: e})...)
	}
	if s.config.InForce().Revision != 1 {
		t.Fatal("the configuration with the operator is not in force")
	}
	checked := 0
	for _, e := range effects {
		var text string
		switch e := e.(type) {
		case effect.ReplyDump:
			text = string(e.JSON)
		case effect.Log:
			text = fmt.Sprintf("%+v", e)
		case effect.ReplyStatement:
			text = fmt.Sprintf("%+v %v", e.Result, e.Result.Failure)
		default:
			continue
		}
		checked++
		if strings.Contains(text, testKeyHash[:7]) {
			t.Errorf("a key hash is exposed: %s", text)
		}
	}
	if checked < 5 {
		t.Errorf("checked only %d dumps, log lines and replies, want at least 5", checked)
	}
}
