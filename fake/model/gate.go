package model

import (
	"container/heap"
	"context"
	"sync"

	"magnoliaspoke.example/spoke"
)

type (
	// gate hands out a limited number of places, by priority and then by arrival.
	gate struct {
		mu      sync.Mutex
		free    int
		used    int
		arrived uint64
		queue   waitQueue
	}

	waiter struct {
		priority spoke.Priority
		order    uint64
		index    int
		result   chan error
	}

	waitQueue []*waiter
)

func newGate(places int) *gate { return &gate{free: places} }

// enter takes a place, or waits for one if no more than maxWaiting others wait.
func (g *gate) enter(ctx context.Context, priority spoke.Priority, maxWaiting int) error {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.used++
		g.mu.Unlock()
		return nil
	}
	if len(g.queue) >= maxWaiting {
		g.mu.Unlock()
		return errBusy
	}
	g.arrived++
	own := &waiter{priority: priority, order: g.arrived, result: make(chan error, 1)}
	heap.Push(&g.queue, own)
	g.mu.Unlock()
	select {
	case err := <-own.result:
		return err
	case <-ctx.Done():
		g.abandon(own)
		return context.Cause(ctx)
	}
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used--
	g.free++
	g.grant()
}

// dismiss ends the wait of all waiters with an error.
func (g *gate) dismiss(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.queue {
		other.index = -1
		other.result <- err
	}
	g.queue = nil
}

func (g *gate) counts() (used, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used, len(g.queue)
}

// abandon takes a waiter out; a place that was granted in the meantime goes to the next one.
func (g *gate) abandon(own *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if own.index >= 0 {
		heap.Remove(&g.queue, own.index)
		return
	}
	if <-own.result == nil {
		g.used--
		g.free++
		g.grant()
	}
}

func (g *gate) grant() {
	for g.free > 0 && len(g.queue) > 0 {
		next := heap.Pop(&g.queue).(*waiter)
		g.free--
		g.used++
		next.result <- nil
	}
}

// Len returns the number of waiting runs.
func (q waitQueue) Len() int { return len(q) }

// Less sorts by priority, then by arrival.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}

// Swap keeps the index of both runs.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a run at the end.
func (q *waitQueue) Push(x any) {
	own := x.(*waiter)
	own.index = len(*q)
	*q = append(*q, own)
}

// Pop removes the run at the end.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*q = old[:len(old)-1]
	return last
}
