package quarantine

import "testing"

func TestFingerprintSeparatesServiceAndContent(t *testing.T) {
	if Fingerprint("ab", []byte("c")) == Fingerprint("a", []byte("bc")) {
		t.Error("the boundary between service and content must count")
	}
	if Fingerprint("a", []byte("b")) != Fingerprint("a", []byte("b")) {
		t.Error("equal requests must have equal fingerprints")
	}
}
