// Package plans describes the set-ups that trials start.
package plans
