// Package lease keeps a lease of the key-value service and says whether it may be relied on.
package lease
