package edge

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke/place"
)

// askAgainPause is the time between two requests for an upstream that goes on with a stream.
const askAgainPause = 200 * time.Millisecond

// requestUpstream waits for a grant or a refusal. A stream that has begun asks again while its caller still waits, since
// a late event is better than a cut stream.
func (e *exchange) requestUpstream(ctx context.Context, p *progress, recall context.CancelCauseFunc) (place.Action, error) {
	for {
		action, err := e.planner.requestUpstream(ctx, e.schedulerRequest(p), e.call.Prompt.Parts, recall)
		refusal, isRefusal := action.(place.Refuse)
		if err != nil || !isRefusal || !refusal.Reason.IsTemporary() || !e.awaitsEvent(p) {
			return action, err
		}
		pause := time.NewTimer(askAgainPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return nil, ctx.Err()
		}
	}
}

// awaitsEvent reports whether the stream has begun and its caller waits for another event.
func (e *exchange) awaitsEvent(p *progress) bool {
	return p.stream.hasBegun() && time.Since(p.stream.lastEventAt) < e.route.CallerTimeout
}
