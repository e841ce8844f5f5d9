// Package auth checks operators' keys against the hashes in the configuration in force.
// Keys are generated, long and random; only their bcrypt hashes are stored.
package auth

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"golang.org/x/crypto/bcrypt"
)

// keyBytes is the number of random bytes in a generated key.
const keyBytes = 32

// BcryptCost is the bcrypt cost of generated hashes.
const BcryptCost = 10

// NewKey returns a new random key and its bcrypt hash.
func NewKey() (key, hash string, err error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fmt.Errorf("generate an operator key: %w", err)
	}
	key = base64.RawURLEncoding.EncodeToString(raw)
	hashed, err := bcrypt.GenerateFromPassword([]byte(key), BcryptCost)
	if err != nil {
		return "", "", fmt.Errorf("hash an operator key: %w", err)
	}
	return key, string(hashed), nil
}
