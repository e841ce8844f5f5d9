package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Fingerprint hashes a request's service and content. The request's identifier is
// excluded, because a caller may resend a crashing request under another one.
func Fingerprint(service model.ServiceName, body []byte) model.Fingerprint {
	digest := xxhash.New()
	// Writes to a digest never fail. The zero byte separates the two parts; service
	// names contain none.
	_, _ = digest.WriteString(string(service))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return model.Fingerprint(digest.Sum64())
}
