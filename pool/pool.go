package pool

import "sync"

// Pool holds reusable values that are expensive to allocate; it is safe for concurrent use.
type Pool[T any] struct {
	values sync.Pool
}

// New returns a pool whose Get calls newValue when the pool is empty.
func New[T any](newValue func() T) *Pool[T] {
	return &Pool[T]{values: sync.Pool{New: func() any { return newValue() }}}
}

// Get takes a value out of the pool.
func (p *Pool[T]) Get() T { return p.values.Get().(T) }

// Put returns a value to the pool; the caller must not use it afterwards.
func (p *Pool[T]) Put(value T) { p.values.Put(value) }
