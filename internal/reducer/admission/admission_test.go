package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// contextAt returns a step with two users.
func contextAt(now model.Instant, users ...model.User) *step.Context {
	return &step.Context{Now: now, Config: &model.Config{Users: users}}
}

// serviceOf returns a service of a user.
func serviceOf(name model.ServiceName, user model.UserID) *model.Service {
	return &model.Service{Name: name, User: user}
}

func TestUserRateLimit(t *testing.T) {
	s := New()
	user := model.User{ID: "u", Weight: 1, RequestsPerSecond: 10}
	now := model.Instant(time.Hour)
	admitted := 0
	for range 1000 {
		ctx := contextAt(now, user)
		if refusal := s.Admit(ctx, serviceOf("a", "u")); refusal == nil {
			admitted++
			s.Release(ctx, serviceOf("a", "u"))
		} else if refusal.Failure.Code != model.CodeRateLimited || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal = %+v", refusal)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if admitted < 100 || admitted > 103 {
		t.Errorf("%d requests in 10 s at 10 per second", admitted)
	}
}

func TestPatternCountsOnceAgainstItsUser(t *testing.T) {
	s := New()
	ctx := contextAt(model.Instant(time.Hour), model.User{ID: "u", Weight: 1, MaxInFlight: 2})
	services := []*model.Service{serviceOf("a", "u"), serviceOf("b", "u"), serviceOf("c", "u")}
	for range 2 {
		if refusal := s.AdmitAll(ctx, services); refusal != nil {
			t.Fatal(refusal.Failure)
		}
	}
	if refusal := s.AdmitAll(ctx, services); refusal == nil {
		t.Fatal("a third request was admitted")
	}
	s.ReleaseAll(ctx, services)
	if refusal := s.AdmitAll(ctx, services); refusal != nil {
		t.Fatal(refusal.Failure)
	}
}

func TestFloodLeavesRoomForOthers(t *testing.T) {
	s := NewWith(Settings{InFlight: 100})
	ctx := contextAt(model.Instant(time.Hour),
		model.User{ID: "flood", Weight: 1}, model.User{ID: "other", Weight: 1})
	flood := 0
	for s.Admit(ctx, serviceOf("a", "flood")) == nil {
		flood++
	}
	if flood < 70 || flood > 90 {
		t.Errorf("the only user got %d of 100", flood)
	}
	for range 10 {
		if refusal := s.Admit(ctx, serviceOf("b", "other")); refusal != nil {
			t.Fatalf("refused beside a flood: %v", refusal.Failure)
		}
	}
}

// TestCountsNeverLeak admits and releases at random; in the end nothing is held,
// and the node's limit was never exceeded.
func TestCountsNeverLeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		s := NewWith(Settings{InFlight: limit})
		ctx := contextAt(model.Instant(time.Hour))
		services := []*model.Service{serviceOf("a", "u"), serviceOf("b", "u"), serviceOf("c", "v")}
		var open [][]*model.Service
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "release") {
				s.ReleaseAll(ctx, open[0])
				open = open[1:]
				continue
			}
			request := services[:rapid.IntRange(1, 3).Draw(t, "services")]
			if s.AdmitAll(ctx, request) == nil {
				open = append(open, request)
			}
			if s.share.Total() > limit {
				t.Fatalf("%d of %d", s.share.Total(), limit)
			}
		}
		for _, request := range open {
			s.ReleaseAll(ctx, request)
		}
		if s.share.Total() != 0 || s.users["u"] != nil && s.users["u"].open != 0 {
			t.Fatalf("%d are left", s.share.Total())
		}
	})
}
