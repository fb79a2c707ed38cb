package load

import (
	"math/rand/v2"
	"strings"

	"magnoliaspoke.example/spoke"
)

const (
	wordBytes = 4
	letters   = "abcdefghijklmnopqrstuvwxyz"
)

// Prompt returns a text of the given length that is a fixed function of its seed.
func Prompt(seed uint64, length spoke.ByteSize) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var text strings.Builder
	text.Grow(int(length) + wordBytes)
	for spoke.ByteSize(text.Len()) < length {
		for range wordBytes - 1 {
			text.WriteByte(letters[random.IntN(len(letters))])
		}
		text.WriteByte(' ')
	}
	return text.String()[:length]
}
