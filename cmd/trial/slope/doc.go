// Package slope measures how the cost of control grows with the size of a set-up
// and extrapolates it to the size that decides the design.
package slope
