package model

import (
	"container/heap"
	"context"
	"sync"

	"magnoliaspoke.example/spoke"
)

type (
	// prioritySemaphore limits concurrency; it grants slots by priority, then in order of arrival.
	prioritySemaphore struct {
		mu       sync.Mutex
		free     int
		used     int
		arrivals uint64
		queue    waitQueue
	}

	waiter struct {
		priority spoke.Priority
		arrival  uint64
		index    int
		result   chan error
	}

	waitQueue []*waiter
)

func newPrioritySemaphore(slots int) *prioritySemaphore { return &prioritySemaphore{free: slots} }

// acquire takes a slot or waits for one; it returns errBusy if maxWaiting others already wait.
func (s *prioritySemaphore) acquire(ctx context.Context, priority spoke.Priority, maxWaiting int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.used++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= maxWaiting {
		s.mu.Unlock()
		return errBusy
	}
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, result: make(chan error, 1)}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		s.cancelWait(w)
		return context.Cause(ctx)
	}
}

func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.free++
	s.grant()
}

// interruptWaiters ends the wait of all waiters with the given error.
func (s *prioritySemaphore) interruptWaiters(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue {
		w.index = -1
		w.result <- err
	}
	s.queue = nil
}

func (s *prioritySemaphore) counts() (used, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.queue)
}

// cancelWait removes a waiter; if it was granted a slot in the meantime, the slot is released.
func (s *prioritySemaphore) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	if <-w.result == nil {
		s.used--
		s.free++
		s.grant()
	}
}

func (s *prioritySemaphore) grant() {
	for s.free > 0 && len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(*waiter)
		s.free--
		s.used++
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
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two runs and updates their indices.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a run at the end.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
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
