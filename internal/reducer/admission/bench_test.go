package admission

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// BenchmarkAdmit admits and releases one request under all limits.
func BenchmarkAdmit(b *testing.B) {
	s := New()
	ctx := contextAt(model.Instant(time.Hour), model.User{ID: "u", Weight: 1, RequestsPerSecond: 1e9, MaxInFlight: 100})
	services := []*model.Service{{Name: "a", User: "u", Policy: model.Policy{RequestsPerSecond: 1e9}}}
	b.ReportAllocs()
	for b.Loop() {
		if refusal := s.AdmitAll(ctx, services); refusal != nil {
			b.Fatal(refusal.Failure)
		}
		s.ReleaseAll(ctx, services)
		ctx.Now = ctx.Now.Add(time.Microsecond)
	}
}
