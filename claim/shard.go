package claim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxAnswer is the largest answer that a claim records.
	maxAnswer = 4 << 10
	// maxClaiming is the shard size above which new claims are refused; the rest up to the
	// platform's 1 MB stays free for the state of claims that were granted before.
	maxClaiming = 512 << 10
)

type (
	// record is a claim as a shard holds it.
	record struct {
		content spoke.Fingerprint
		attempt spoke.AttemptID
		host    spoke.HostID
		state   spoke.ClaimState
		claimed time.Time
		answer  *spoke.PlainAnswer
	}

	// shard holds the claims of one key of the key-value service.
	shard map[spoke.ClaimID]record
)

// shardOf spreads keys evenly over the shards, whatever the form of the keys.
func shardOf(id spoke.ClaimID, shards int) int {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", id.Workspace, id.Service, id.Key))
	return int(binary.BigEndian.Uint64(sum[:8]) % uint64(shards))
}

func (s shard) prune(now time.Time, keep time.Duration) {
	for id, r := range s {
		if now.Sub(r.claimed) >= keep {
			delete(s, id)
		}
	}
}

// claim grants the key if it is free, or if its holder is known never to run.
func (s shard) claim(request spoke.ClaimRequest, now time.Time, neverRuns func(spoke.AttemptID) bool) (result, bool) {
	held, taken := s[request.ID]
	switch {
	case taken && held.attempt == request.Attempt && held.state == spoke.ClaimHeld:
		return result{granted: true, record: held.of(request.ID)}, false
	case taken && (held.state != spoke.ClaimHeld || !neverRuns(held.attempt)):
		return result{record: held.of(request.ID)}, false
	}
	r := record{
		content: request.Content, attempt: request.Attempt, host: request.Host,
		state: spoke.ClaimHeld, claimed: now,
	}
	s[request.ID] = r
	return result{granted: true, record: r.of(request.ID)}, true
}

func (s shard) finish(request spoke.ClaimRequest, answer *spoke.PlainAnswer) (result, bool) {
	held, taken := s[request.ID]
	if !taken || held.attempt != request.Attempt {
		return result{err: ErrNotHolder}, false
	}
	if held.state == spoke.ClaimDone {
		return result{}, false
	}
	held.state, held.answer = spoke.ClaimDone, answer
	s[request.ID] = held
	return result{}, true
}

// release frees the key; a free key is no error, since an earlier write may have freed it.
func (s shard) release(request spoke.ClaimRequest) (result, bool) {
	held, taken := s[request.ID]
	if !taken {
		return result{}, false
	}
	if held.attempt != request.Attempt || held.state != spoke.ClaimHeld {
		return result{err: ErrNotHolder}, false
	}
	delete(s, request.ID)
	return result{}, true
}

// encode drops recorded answers, the oldest first, until the shard fits its limit;
// a repeat of such a key is then answered without the recorded answer.
func (s shard) encode() ([]byte, error) {
	content, err := encodeShard(s)
	if err != nil || len(content) <= maxClaiming {
		return content, err
	}
	excess := len(content) - maxClaiming
	for _, id := range s.answered() {
		if excess <= 0 {
			break
		}
		r := s[id]
		excess -= answerSize(*r.answer)
		r.answer = nil
		s[id] = r
	}
	return encodeShard(s)
}

func (s shard) answered() []spoke.ClaimID {
	var ids []spoke.ClaimID
	for id, r := range s {
		if r.answer != nil {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b spoke.ClaimID) int {
		return cmp.Or(s[a].claimed.Compare(s[b].claimed), cmp.Compare(a.Key, b.Key))
	})
	return ids
}

func (r record) of(id spoke.ClaimID) spoke.ClaimRecord {
	return spoke.ClaimRecord{
		ClaimRequest: spoke.ClaimRequest{ID: id, Content: r.content, Attempt: r.attempt, Host: r.host},
		State:        r.state,
		Answer:       r.answer,
	}
}

func answerSize(answer spoke.PlainAnswer) int {
	size := len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
