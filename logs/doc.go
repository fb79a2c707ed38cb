// Package logs writes structured log lines without blocking the code that logs; lines above its limits
// are dropped, and their number is logged. It also reads and analyses the logs.
package logs
