package peer

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// TestRoundTrip checks that messages are unchanged after encoding and decoding.
func TestRoundTrip(t *testing.T) {
	t.Run("Dispatch", roundTrip[message.Dispatch])
	t.Run("Cancel", roundTrip[message.Cancel])
	t.Run("DispatchResult", roundTrip[message.DispatchResult])
	t.Run("IndexReport", roundTrip[message.IndexReport])
	t.Run("IndexInterest", roundTrip[message.IndexInterest])
	t.Run("OrderForward", roundTrip[message.OrderForward])
	t.Run("OrderOutcome", roundTrip[message.OrderOutcome])
	t.Run("SessionHandover", roundTrip[message.SessionHandover])
	t.Run("HandoverAck", roundTrip[message.HandoverAck])
	t.Run("SessionMoved", roundTrip[message.SessionMoved])
	t.Run("Digest", roundTrip[message.Digest])
	t.Run("LogPull", roundTrip[message.LogPull])
	t.Run("LogEntries", roundTrip[message.LogEntries])
	t.Run("Suspicion", roundTrip[message.Suspicion])
	t.Run("Unblock", roundTrip[message.Unblock])
	t.Run("RegistrySubscribe", roundTrip[message.RegistrySubscribe])
	t.Run("RegistryUpdate", roundTrip[message.RegistryUpdate])
	t.Run("Subquery", roundTrip[message.Subquery])
	t.Run("SubqueryReport", roundTrip[message.SubqueryReport])
	t.Run("RateReports", roundTrip[message.RateReports])
	t.Run("SubqueryCancel", roundTrip[message.SubqueryCancel])
}

func roundTrip[M message.Message](t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.Make[M]().Draw(t, "message")
		encoded, err := encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		wire, err := proto.Marshal(encoded)
		if err != nil {
			t.Fatal(err)
		}
		received := &peerpb.Message{}
		if err := proto.Unmarshal(wire, received); err != nil {
			t.Fatal(err)
		}
		got, err := decode(received)
		if err != nil {
			t.Fatal(err)
		}
		if !equalIgnoringNil(reflect.ValueOf(sent), reflect.ValueOf(got)) {
			t.Fatalf("sent %#v, got %#v", sent, got)
		}
	})
}

// equalIgnoringNil compares two values. It treats empty and nil slices and maps as
// equal, because the wire format does not distinguish them.
func equalIgnoringNil(a, b reflect.Value) bool {
	switch a.Kind() {
	case reflect.Slice:
		if a.Len() != b.Len() {
			return false
		}
		for i := range a.Len() {
			if !equalIgnoringNil(a.Index(i), b.Index(i)) {
				return false
			}
		}
		return true
	case reflect.Map:
		for _, key := range a.MapKeys() {
			if other := b.MapIndex(key); !other.IsValid() || !equalIgnoringNil(a.MapIndex(key), other) {
				return false
			}
		}
		return a.Len() == b.Len()
	case reflect.Struct:
		for i := range a.NumField() {
			if !equalIgnoringNil(a.Field(i), b.Field(i)) {
				return false
			}
		}
		return true
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			return a.IsNil() == b.IsNil()
		}
		return equalIgnoringNil(a.Elem(), b.Elem())
	default:
		return reflect.DeepEqual(a.Interface(), b.Interface())
	}
}
