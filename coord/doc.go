// Package coord is the HTTP client of the platform's key-value service.
package coord
