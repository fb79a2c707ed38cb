// Package cases implements the benchmark cases, which measure policies under load and faults.
package cases
