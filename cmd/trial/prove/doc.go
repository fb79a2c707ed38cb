// Package prove runs the scenarios against the programs of the workspace.
package prove
