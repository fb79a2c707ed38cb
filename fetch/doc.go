// Package fetch makes HTTP calls that may take as long as their response makes progress.
package fetch
