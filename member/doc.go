// Package member tracks the entry hosts with a gossip protocol: each host sends
// heartbeats to a few others, which forward what they receive.
package member
