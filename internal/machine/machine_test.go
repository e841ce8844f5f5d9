package machine

import "testing"

// TestLowerLimitHolds guards against limits in the settings that hide lower ones of the system.
func TestLowerLimitHolds(t *testing.T) {
	for _, c := range []struct{ settings, system, want Limits }{
		{Limits{}, Limits{Memory: 10, Descriptors: 20}, Limits{Memory: 10, Descriptors: 20}},
		{Limits{Memory: 5, Descriptors: 30}, Limits{Memory: 10, Descriptors: 20}, Limits{Memory: 5, Descriptors: 20}},
		{Limits{Memory: 15, Descriptors: 10}, Limits{}, Limits{Memory: 15, Descriptors: 10}},
	} {
		if got := c.settings.Within(c.system); got != c.want {
			t.Errorf("%+v within %+v: %+v, want %+v", c.settings, c.system, got, c.want)
		}
	}
}

// TestSystemLimits checks that the system states limits.
func TestSystemLimits(t *testing.T) {
	if l := OfSystem(); l.Memory <= 0 || l.Descriptors <= 0 {
		t.Errorf("limits of the system: %+v", l)
	}
}
