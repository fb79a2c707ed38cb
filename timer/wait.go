package timer

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

// Wait returns after a pause of a timer service or when ctx ends, whichever comes first.
func Wait(ctx context.Context, service spoke.Timer, pause time.Duration) {
	if pause <= 0 {
		return
	}
	limit := service.After(pause)
	defer limit.Stop()
	select {
	case <-limit.C():
	case <-ctx.Done():
	}
}
