// Package logs writes structured log lines without ever waiting for their reader; lines above
// its limits are counted and reported in place of being written.
package logs
