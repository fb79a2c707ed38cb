package pool

import "sync"

// Pool holds values that are costly to make; it is safe for concurrent use.
type Pool[T any] struct {
	values sync.Pool
}

// New returns a pool that makes values with the function when it is empty.
func New[T any](newValue func() T) *Pool[T] {
	return &Pool[T]{values: sync.Pool{New: func() any { return newValue() }}}
}

// Get takes a value out of the pool.
func (p *Pool[T]) Get() T { return p.values.Get().(T) }

// Put gives a value back; the caller must not use it any more.
func (p *Pool[T]) Put(value T) { p.values.Put(value) }
