// Package cases holds the measured cases of the benchmark.
package cases
