package admin

import (
	"crypto/subtle"
	"strings"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
)

const bearer = "Bearer "

// keyRing holds the hashes of the accepted keys.
type keyRing []spoke.KeyHash

func newKeyRing(keys []spoke.KeyHash) keyRing { return append(keyRing{}, keys...) }

// accepts reports whether an Authorization header has an accepted key. It compares with all
// hashes in constant time, so that response times reveal nothing about them.
func (k keyRing) accepts(header string) bool {
	key, found := strings.CutPrefix(header, bearer)
	if !found || key == "" {
		return false
	}
	hash := []byte(config.HashKey(key))
	matches := 0
	for _, accepted := range k {
		matches |= subtle.ConstantTimeCompare(hash, []byte(accepted))
	}
	return matches == 1
}
