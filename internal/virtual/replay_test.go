package virtual_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// recordedStep is an event that a node processed, with the resulting effects.
type recordedStep struct {
	envelope event.Envelope
	effects  []effect.Effect
}

// TestReplay checks that a fresh reducer that is fed a recorded sequence of events
// returns the same effects. The sequence covers searches, a killed peer and the
// graceful shutdown of another.
func TestReplay(t *testing.T) {
	const recorded = model.HostID("host-1")
	var steps []recordedStep
	w, err := virtual.Deploy(deployment.Demo(), virtual.Options{
		Seed: 7,
		Observe: func(host model.HostID, envelope event.Envelope, effects []effect.Effect) {
			if host == recorded {
				steps = append(steps, recordedStep{envelope, effects})
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	answers := 0
	for i := range 200 {
		w.After(time.Duration(i)*5*time.Millisecond, func() {
			search := event.Search{Services: []string{"counter-*"}, Query: []byte(`"q"`)}
			w.Search(recorded, search, func(model.Answer) { answers++ })
		})
	}
	w.After(300*time.Millisecond, func() { w.Kill("host-2") })
	w.After(600*time.Millisecond, func() { w.Stop("host-3") })
	w.RunFor(10 * time.Second)
	if answers != 200 {
		t.Fatalf("%d answers, want 200", answers)
	}

	fresh := reducer.New(w.Settings(recorded))
	for i, step := range steps {
		effects := fresh.Reduce(step.envelope)
		if !reflect.DeepEqual(effects, step.effects) {
			t.Fatalf("step %d, event %#v: replayed effects\n%#v\nrecorded\n%#v", i, step.envelope.Event, effects, step.effects)
		}
	}
}
