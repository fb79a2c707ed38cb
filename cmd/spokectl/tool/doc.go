// Package tool implements the operator command over the administration API.
package tool
