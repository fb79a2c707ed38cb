package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultLengths bounds the length of answers to runs without a token limit.
	defaultLengths = 128
	// letters has 32 characters, so that five bits of a hash choose one.
	letters = "abcdefghijklmnopqrstuvwxyzABCDEF"
)

type answer struct{ seed uint64 }

// Token returns token i of the answer to a prompt; it is always 4 bytes long.
func Token(prompt string, version spoke.ModelVersion, i spoke.TokenCount) string {
	return newAnswer(prompt, version).token(i)
}

// Answer returns the tokens of an answer from one index up to and without another.
func Answer(prompt string, version spoke.ModelVersion, from, to spoke.TokenCount) string {
	text := make([]byte, 0, max(0, to-from)*spoke.TokenCount(spoke.BytesPerToken))
	source := newAnswer(prompt, version)
	for i := from; i < to; i++ {
		text = append(text, source.token(i)...)
	}
	return string(text)
}

// Length returns the number of tokens of an answer; a limit of zero means none was given.
func Length(prompt string, limit spoke.TokenCount) spoke.TokenCount {
	if limit > 0 {
		return limit
	}
	return 1 + spoke.TokenCount(xxhash.Sum64String(prompt)%(defaultLengths-1))
}

func newAnswer(prompt string, version spoke.ModelVersion) answer {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(version))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return answer{seed: digest.Sum64()}
}

func (a answer) token(i spoke.TokenCount) string {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], a.seed)
	binary.BigEndian.PutUint64(input[8:], uint64(i))
	sum := xxhash.Sum64(input[:])
	return string([]byte{
		' ',
		letters[sum&31],
		letters[sum>>5&31],
		letters[sum>>10&31],
	})
}
