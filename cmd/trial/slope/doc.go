// Package slope measures how the cost of the control plane grows with the size of a
// set-up and extrapolates it linearly to the largest size that the design must support.
package slope
