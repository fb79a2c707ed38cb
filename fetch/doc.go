// Package fetch makes HTTP calls that may take as long as their response makes progress, and reads bodies within a memory budget.
package fetch
