// Package speed estimates how fast the upstreams of a service are compared with each other, and how many calls each of
// them takes before it slows down. It is pure: times and observations are the input.
package speed
