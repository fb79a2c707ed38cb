// Package pool is a typed wrapper of sync.Pool.
package pool
