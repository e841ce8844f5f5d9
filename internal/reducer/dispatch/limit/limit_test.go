package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

func TestLimitStaysBetweenOneAndTheCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limit
		ceiling := rapid.IntRange(1, 40).Draw(t, "ceiling")
		l.SetCeiling(ceiling)
		now := model.Instant(time.Hour)
		for range rapid.IntRange(1, 60).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "outcome") {
			case 0, 1:
				l.Answered(now)
			case 2:
				l.Shed(now, now, 0)
			case 3:
				l.Failed(now, now)
			case 4:
				l.BeginSlowStart(now)
			}
			if got := l.Current(now.Add(maxPause)); got < 1 || got > ceiling {
				t.Fatalf("limit %d of %d slots", got, ceiling)
			}
		}
	})
}

func TestOneBurstOfShedsDecreasesOnce(t *testing.T) {
	var l Limit
	l.SetCeiling(16)
	sent := model.Instant(time.Hour)
	for i := range 8 {
		l.Shed(sent.Add(time.Duration(1+i)*time.Millisecond), sent, 0)
	}
	if got := l.Current(sent.Add(time.Second)); got != 8 {
		t.Errorf("limit = %d, want 16 halved once", got)
	}
}

func TestShedAtTheLowestLimitPauses(t *testing.T) {
	var l Limit
	l.SetCeiling(1)
	now := model.Instant(time.Hour)
	l.Shed(now, now, 0)
	if l.Current(now) != 0 || l.Current(now.Add(minPause)) != 1 {
		t.Errorf("paused until %v, want %v", l.PausedUntil(), now.Add(minPause))
	}
	now = now.Add(minPause)
	l.Shed(now, now, 0)
	if got := l.PausedUntil().Sub(now); got != 2*minPause {
		t.Errorf("second pause = %v, want it doubled", got)
	}
}

func TestSlowStartAddsOneForEachAnswer(t *testing.T) {
	var l Limit
	l.SetCeiling(3)
	now := model.Instant(time.Hour)
	l.BeginSlowStart(now)
	for want := 1; want <= 3; want++ {
		if got := l.Current(now); got != want {
			t.Fatalf("limit = %d, want %d", got, want)
		}
		l.Answered(now)
	}
	if l.Reason(now) != ReasonSlots {
		t.Errorf("reason = %s", l.Reason(now))
	}
}

func TestHoldEndsByItself(t *testing.T) {
	var l Limit
	l.SetCeiling(4)
	now := model.Instant(time.Hour)
	l.Hold(2, now, time.Second)
	if l.Current(now) != 2 || l.Reason(now) != ReasonTakeover {
		t.Errorf("limit = %d by %s during the hold", l.Current(now), l.Reason(now))
	}
	if got := l.Current(now.Add(time.Second)); got != 4 {
		t.Errorf("limit = %d after the hold", got)
	}
}

func TestErrorsDecreaseTheLimit(t *testing.T) {
	var l Limit
	l.SetCeiling(8)
	now := model.Instant(time.Hour)
	l.Failed(now, now)
	if got := l.Current(now); got != 8 {
		t.Errorf("limit = %d after one error", got)
	}
	for range 20 {
		now = now.Add(time.Millisecond)
		l.Failed(now, now)
	}
	if got := l.Current(now); got != 1 {
		t.Errorf("limit = %d after errors only", got)
	}
}
