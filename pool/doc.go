// Package pool keeps reusable values of one type.
package pool
