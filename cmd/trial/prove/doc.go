// Package prove runs the scenarios in testdata against the programs of the Go workspace and reports
// which promises of the product they prove.
package prove
