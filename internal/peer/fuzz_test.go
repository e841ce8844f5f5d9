package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// FuzzDecode checks that no bytes of a peer make the decoder fail otherwise than
// by an error, and that what it accepts can be sent again.
func FuzzDecode(f *testing.F) {
	seeds := []message.Message{
		message.Dispatch{Attempt: model.AttemptID{Host: "a", Incarnation: 1, Number: 2}, Kind: message.KindOrder, Body: []byte(`1`)},
		message.OrderForward{Call: 7, Service: "print-room", Body: []byte(`"card"`), Hops: 1},
		message.OrderOutcome{Call: 7, Answer: model.Answer{Outcome: model.Unknown, Failure: model.Failf(model.CodeOutcomeLost, "lost")}},
		message.SessionHandover{From: "a", Part: 1, Parts: 2, Attempt: 1, Homes: []message.HandoverHome{{Host: "a", Issued: 9}}},
		message.SessionMoved{From: "a", To: "b", Generation: 2},
		message.Suspicion{Service: "s", Fingerprint: 7, Blocked: true},
	}
	for _, m := range seeds {
		encoded, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		wire, err := proto.Marshal(encoded)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(wire)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, wire []byte) {
		received := &peerpb.Message{}
		if proto.Unmarshal(wire, received) != nil {
			return
		}
		m, err := decode(received)
		if err != nil {
			return
		}
		if _, err := encode(m); err != nil {
			t.Fatalf("%#v cannot be sent again: %v", m, err)
		}
	})
}
