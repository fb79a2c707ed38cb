package drain

import (
	"context"
	"errors"
	"net/http"
)

// ErrEnd is the cause with which the requests end that are still open at the end of a drain.
var ErrEnd = errors.New("host ends")

// Requests ends the open requests of a server at the end of a drain.
type Requests struct {
	ending context.Context
	end    context.CancelCauseFunc
}

// NewRequests returns the requests of a server whose handler Handle has wrapped.
func NewRequests() *Requests {
	r := &Requests{}
	r.ending, r.end = context.WithCancelCause(context.Background())
	return r
}

// End ends the context of each open request with the cause ErrEnd.
func (r *Requests) End() { r.end(ErrEnd) }

// Handle returns a handler whose requests end with End.
func (r *Requests) Handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx, end := context.WithCancelCause(req.Context())
		defer end(nil)
		stop := context.AfterFunc(r.ending, func() { end(ErrEnd) })
		defer stop()
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}
