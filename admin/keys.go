package admin

import (
	"crypto/subtle"
	"strings"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
)

const bearer = "Bearer "

// keyRing holds the hashes of accepted keys.
type keyRing []spoke.KeyHash

func newKeyRing(keys []spoke.KeyHash) keyRing { return append(keyRing{}, keys...) }

// accepts compares with all hashes in constant time, so that timing tells nothing of them.
func (k keyRing) accepts(header string) bool {
	key, found := strings.CutPrefix(header, bearer)
	if !found || key == "" {
		return false
	}
	hash := []byte(config.HashKey(key))
	matches := 0
	for _, known := range k {
		matches |= subtle.ConstantTimeCompare(hash, []byte(known))
	}
	return matches == 1
}
