// Package load sends requests to entry hosts as callers do and measures the answers.
package load
