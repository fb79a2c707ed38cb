// Package claim keeps non-repeatable requests from running twice, by claims in the key-value service.
package claim
