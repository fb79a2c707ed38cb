// Package plans defines the set-ups that trials start.
package plans
