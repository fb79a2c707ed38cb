// Package crash quarantines requests that crash upstreams.
//
// A fingerprint with an attempt in progress when its upstream died is a suspect
// for ten minutes. Suspects run in isolation: one at a time on an upstream, and
// one request of each fingerprint at a time on an entry host. A second death
// marks the fingerprint, and marked requests are refused until the mark expires.
// Copies of one request that already run on several upstreams at the first
// death are not stopped; each of them may crash one more upstream.
package crash
