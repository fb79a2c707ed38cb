// Package claim prevents non-repeatable requests from running twice. A request runs only after its
// attempt has claimed the idempotency key in the key-value service.
package claim
