// Package quota divides a rate of requests to an upstream between hosts that send without asking each other.
package quota
