// Package place decides which upstream gets a call and when, what waits and what is refused;
// it is pure and shares its picture of the load with the other hosts by messages.
package place
