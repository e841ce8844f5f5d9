package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Fingerprint hashes a request's service and content. The request's identifier
// is left out, because a caller sends a crashing request again under another
// one.
func Fingerprint(service model.ServiceName, body []byte) model.Fingerprint {
	digest := xxhash.New()
	// Writes to a digest never fail. The zero byte separates the two parts: it
	// occurs in no service name.
	_, _ = digest.WriteString(string(service))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return model.Fingerprint(digest.Sum64())
}
