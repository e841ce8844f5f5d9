package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// hashRegistrations returns a hash of the list that leaves out the warm-up, which
// changes all the time.
func hashRegistrations(list []model.Registration) uint64 {
	digest := xxhash.New()
	for _, r := range list {
		writeStrings(digest, string(r.Upstream.ID), r.Upstream.Address, string(r.Upstream.FailureDomain), r.Instance)
		writeNumbers(digest, r.Incarnation, uint64(r.Upstream.Slots), boolToUint64(r.Upstream.Draining))
	}
	return digest.Sum64()
}

// hashMembers returns a hash of the list.
func hashMembers(list []model.Member) uint64 {
	digest := xxhash.New()
	for _, m := range list {
		writeStrings(digest, string(m.Host), string(m.FailureDomain), m.CallerAddress, m.PeerAddress, string(m.State))
		writeNumbers(digest, uint64(m.Incarnation), uint64(m.Weight), uint64(m.Load))
	}
	return digest.Sum64()
}

// writeStrings adds strings to a digest. Writes to a digest never fail.
func writeStrings(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
}

// writeNumbers adds numbers to a digest.
func writeNumbers(digest *xxhash.Digest, numbers ...uint64) {
	var buffer [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(buffer[:], n)
		_, _ = digest.Write(buffer[:])
	}
}

// boolToUint64 returns 1 for true and 0 for false.
func boolToUint64(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
