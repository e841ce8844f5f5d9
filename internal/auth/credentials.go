package auth

import (
	"encoding/base64"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// credentials holds the operator name and the key that a caller presents.
type credentials struct {
	name model.OperatorName
	key  string
}

// parseAuthorization parses the Authorization header: "Bearer NAME:KEY", or Basic
// with the same pair in base64.
func parseAuthorization(header string) (credentials, bool) {
	scheme, rest, found := strings.Cut(header, " ")
	if !found {
		return credentials{}, false
	}
	rest = strings.TrimSpace(rest)
	switch strings.ToLower(scheme) {
	case "bearer":
		return parsePair(rest)
	case "basic":
		decoded, err := base64.StdEncoding.DecodeString(rest)
		if err != nil {
			return credentials{}, false
		}
		return parsePair(string(decoded))
	default:
		return credentials{}, false
	}
}

// parsePair parses "NAME:KEY".
func parsePair(pair string) (credentials, bool) {
	name, key, found := strings.Cut(pair, ":")
	if !found || name == "" || key == "" || len(key) > maxKeyBytes {
		return credentials{}, false
	}
	return credentials{name: model.OperatorName(name), key: key}, true
}
