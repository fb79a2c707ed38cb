// Package crash quarantines requests that crash upstreams.
//
// A fingerprint with an attempt in progress when its upstream died is a suspect
// for ten minutes. Suspects run in isolation: one at a time on an upstream, and
// one request of each fingerprint at a time on an entry host. A second death
// marks the fingerprint, and marked requests are refused until the mark expires.
// Copies of one request that already run on several upstreams at the first
// death are not stopped; each of them may crash one more upstream.
//
// Brittle upstreams fall over if they reject too many requests. A death that
// rejections may explain counts half, and an answer at any host takes it back.
//
// PartRegistry finds parts of prompts that crash upstreams in requests of which no two are alike. All hosts
// exchange the crashes that they observe, each with the parts of the requests that the upstream had not begun
// to answer. An answer that begins after a crash clears the parts of its prompt. A part that is in several
// crashes, is not served while others are, and explains more crashes than any other part, is marked on all
// hosts. After some time one host sends one request with it as a probe, whose result ends or prolongs the mark.
package crash
