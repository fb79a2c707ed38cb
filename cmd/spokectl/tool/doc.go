// Package tool implements the operator command spokectl on top of the administration API.
package tool
