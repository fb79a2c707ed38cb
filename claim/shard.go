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
	// maxAnswerSize is the size in bytes of the largest answer that a claim records.
	maxAnswerSize = 4 << 10
	// maxShardSizeForClaims is the shard size in bytes above which new claims are refused. The
	// rest up to the platform's limit of 1 MB is reserved for updates of claims already granted.
	maxShardSizeForClaims = 512 << 10
)

type (
	// record is a claim without its id, which is its key in the shard.
	record struct {
		content spoke.Fingerprint
		attempt spoke.AttemptID
		host    spoke.HostID
		state   spoke.ClaimState
		claimed time.Time
		answer  *spoke.PlainAnswer
	}

	// shard holds the claims that are stored under one key of the key-value service.
	shard map[spoke.ClaimID]record
)

// shardIndex returns the shard of a claim. The hash spreads the claims evenly, whatever the form
// of their keys.
func shardIndex(id spoke.ClaimID, shards int) int {
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

// claim grants the key if it is free or if neverRuns reports that its holder will not run.
func (s shard) claim(request spoke.ClaimRequest, now time.Time, neverRuns func(spoke.AttemptID) bool) (result, bool) {
	held, taken := s[request.ID]
	switch {
	case taken && held.attempt == request.Attempt && held.state == spoke.ClaimHeld:
		return result{granted: true, record: held.toClaimRecord(request.ID)}, false
	case taken && (held.state != spoke.ClaimHeld || !neverRuns(held.attempt)):
		return result{record: held.toClaimRecord(request.ID)}, false
	}
	r := record{
		content: request.Content, attempt: request.Attempt, host: request.Host,
		state: spoke.ClaimHeld, claimed: now,
	}
	s[request.ID] = r
	return result{granted: true, record: r.toClaimRecord(request.ID)}, true
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

// release removes the claim. A missing claim is no error, since an earlier write of the same
// release may have taken effect.
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

// encode returns the stored value of the shard. If it exceeds maxShardSizeForClaims, encode drops
// recorded answers, the oldest first; a repeated request then gets its claim without the answer.
func (s shard) encode() ([]byte, error) {
	content, err := encodeShard(s)
	if err != nil || len(content) <= maxShardSizeForClaims {
		return content, err
	}
	excess := len(content) - maxShardSizeForClaims
	for _, id := range s.withAnswers() {
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

func (s shard) withAnswers() []spoke.ClaimID {
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

func (r record) toClaimRecord(id spoke.ClaimID) spoke.ClaimRecord {
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
