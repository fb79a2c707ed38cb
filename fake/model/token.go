package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultLengthLimit is the exclusive upper bound on the tokens generated for a run without a token limit.
	defaultLengthLimit = 128
	// letters has 32 characters, so that five bits of a hash select one.
	letters = "abcdefghijklmnopqrstuvwxyzABCDEF"
)

type tokenSource struct{ seed uint64 }

// Token returns token i of the answer to a prompt; every token is 4 bytes long.
func Token(prompt string, version spoke.ModelVersion, i spoke.TokenCount) string {
	return newTokenSource(prompt, version).token(i)
}

// Answer returns the tokens with indices in [from, to) of the answer to a prompt.
func Answer(prompt string, version spoke.ModelVersion, from, to spoke.TokenCount) string {
	text := make([]byte, 0, max(0, to-from)*spoke.TokenCount(spoke.BytesPerToken))
	source := newTokenSource(prompt, version)
	for i := from; i < to; i++ {
		text = append(text, source.token(i)...)
	}
	return string(text)
}

// Length returns the number of tokens in the answer to a prompt; a limit of zero means that none was given.
func Length(prompt string, limit spoke.TokenCount) spoke.TokenCount {
	if limit > 0 {
		return limit
	}
	return 1 + spoke.TokenCount(xxhash.Sum64String(prompt)%(defaultLengthLimit-1))
}

func newTokenSource(prompt string, version spoke.ModelVersion) tokenSource {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(version))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return tokenSource{seed: digest.Sum64()}
}

func (s tokenSource) token(i spoke.TokenCount) string {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], s.seed)
	binary.BigEndian.PutUint64(input[8:], uint64(i))
	sum := xxhash.Sum64(input[:])
	return string([]byte{
		' ',
		letters[sum&31],
		letters[sum>>5&31],
		letters[sum>>10&31],
	})
}
