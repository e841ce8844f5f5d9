package quarantine

import "testing"

func TestFingerprintSeparatesServiceAndContent(t *testing.T) {
	if Fingerprint("ab", []byte("c")) == Fingerprint("a", []byte("bc")) {
		t.Error("the fingerprint must depend on the boundary between service and content")
	}
	first, second := []byte("verse"), append([]byte("ver"), "se"...)
	if Fingerprint("a", first) != Fingerprint("a", second) {
		t.Error("equal requests must have equal fingerprints")
	}
}
