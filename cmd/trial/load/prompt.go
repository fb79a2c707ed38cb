package load

import (
	"math/rand/v2"
	"strings"

	"magnoliaspoke.example/spoke"
)

const (
	bytesPerWord = 4
	letters      = "abcdefghijklmnopqrstuvwxyz"
)

// Prompt returns a text of the given length that depends only on the seed and the length.
func Prompt(seed uint64, length spoke.ByteSize) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var text strings.Builder
	text.Grow(int(length) + bytesPerWord)
	for spoke.ByteSize(text.Len()) < length {
		for range bytesPerWord - 1 {
			text.WriteByte(letters[random.IntN(len(letters))])
		}
		text.WriteByte(' ')
	}
	return text.String()[:length]
}
