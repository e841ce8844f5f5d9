package model

import (
	"testing"

	"pgregory.net/rapid"
)

// TestUpstreamOfAnotherService guards against an upstream that gets the requests of another service
// because its service has a slash, or any other byte, in its name.
func TestUpstreamOfAnotherService(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		name := rapid.OneOf(rapid.String(), rapid.StringOfN(rapid.SampledFrom([]rune("ab/%25F")), 0, 8, -1))
		service, upstream := ServiceName(name.Draw(r, "service")), name.Draw(r, "upstream")
		id := NewUpstreamID(service, upstream)
		if got := id.Service(); got != service {
			r.Fatalf("%q is an upstream of %q, want %q", id, got, service)
		}
		other, otherUpstream := ServiceName(name.Draw(r, "other service")), name.Draw(r, "other upstream")
		isSame := other == service && otherUpstream == upstream
		if NewUpstreamID(other, otherUpstream) == id != isSame {
			r.Fatalf("%q stands for %q of %q and %q of %q", id, upstream, service, otherUpstream, other)
		}
	})
}
