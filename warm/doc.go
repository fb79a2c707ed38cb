// Package warm decides whether an upstream is cold, so that it handles few requests, and until when.
package warm
