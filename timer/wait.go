package timer

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

// Wait blocks until the pause has elapsed on the timer service or ctx is done.
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
