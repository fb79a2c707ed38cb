// Package store implements the HTTP client of store hosts.
package store
