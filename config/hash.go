package config

import (
	"crypto/sha256"
	"encoding/hex"

	"magnoliaspoke.example/spoke"
)

// HashKey returns the hash that stands for an API key in settings and tickets.
func HashKey(key string) spoke.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return spoke.KeyHash(hex.EncodeToString(sum[:]))
}
