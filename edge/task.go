package edge

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

// runTask handles messages as they arrive and makes a step at each tick, until ctx ends; in is nil for
// a task without messages.
func runTask(ctx context.Context, timer spoke.Timer, every time.Duration, in <-chan any, handle func(any), step func(context.Context)) error {
	tick := timer.Every(every)
	defer tick.Stop()
	for {
		select {
		case m := <-in:
			handle(m)
		case <-tick.C():
			step(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendTo sends a message to a task unless ctx ends first.
func sendTo(ctx context.Context, to chan<- any, message any) {
	select {
	case to <- message:
	case <-ctx.Done():
	}
}
