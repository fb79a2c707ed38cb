package claim_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/claim"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
)

func newSingleShardClaims() (*kvsvc.Service, *claim.Claims) {
	service := kvsvc.New()
	client := coord.New("platform", coord.WithTransport(kvsvc.NewTransport(service)))
	return service, claim.New(client, claim.WithShards(1))
}

func request(i int) spoke.ClaimRequest {
	key := spoke.IdempotencyKey(fmt.Sprintf("%0200d", i))
	return spoke.ClaimRequest{ID: spoke.ClaimID{Workspace: "w", Service: "s", Key: key}, Attempt: spoke.AttemptID(fmt.Sprint(i))}
}

// Guards against one write for each claim, which would exceed the platform's rate limits.
func TestConcurrentClaimsShareOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, claims := newSingleShardClaims()
		var group sync.WaitGroup
		for i := range 100 {
			group.Go(func() {
				granted, _, err := claims.Claim(context.Background(), request(i))
				assert.Check(t, err)
				assert.Check(t, granted)
			})
		}
		group.Wait()
		assert.Equal(t, service.Calls().Writes, int64(1))
		assert.NilError(t, claims.Close(context.Background()))
	})
}

// fill claims keys in groups until a claim is refused; it finishes the first 50 with large answers
// and returns the refusals.
func fill(t *testing.T, claims *claim.Claims) error {
	const size = 400
	var refused error
	for first := 0; refused == nil && first < 10*size; first += size {
		var group sync.WaitGroup
		var mu sync.Mutex
		for i := first; i < first+size; i++ {
			group.Go(func() {
				_, _, err := claims.Claim(context.Background(), request(i))
				if err == nil && i < 50 {
					body := []byte(strings.Repeat("x", 4096+i%2))
					assert.Check(t, claims.Finish(context.Background(), request(i), spoke.PlainAnswer{Body: body}))
				}
				mu.Lock()
				defer mu.Unlock()
				refused = errors.Join(refused, err)
			})
		}
		group.Wait()
	}
	return refused
}

// Guards against recorded answers above their size limit, shards above their size limit and claims
// that never expire.
func TestShardSizeLimitAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, claims := newSingleShardClaims()
		ctx := context.Background()
		err := fill(t, claims)
		var refusal *spoke.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Outcome, spoke.OutcomeNotRun)
		client := coord.New("platform", coord.WithTransport(kvsvc.NewTransport(service)))
		pairs, err := client.List(ctx, claim.Prefix)
		assert.NilError(t, err)
		assert.Assert(t, len(pairs) == 1 && len(pairs[0].Value) <= 512<<10, "%d bytes", len(pairs[0].Value))

		for _, i := range []int{10, 11} {
			_, current, err := claims.Claim(ctx, request(i))
			assert.NilError(t, err)
			assert.Equal(t, current.State, spoke.ClaimDone)
			assert.Assert(t, current.Answer == nil, "answer %d is still recorded", i)
		}
		<-time.After(24 * time.Hour)
		granted, _, err := claims.Claim(ctx, request(10))
		assert.NilError(t, err)
		assert.Assert(t, granted)
		assert.NilError(t, claims.Close(ctx))
	})
}
