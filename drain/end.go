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

// End ends the open requests.
func (r *Requests) End() { r.end(ErrEnd) }

// Ending returns a context that ends with End and has the cause ErrEnd then.
func (r *Requests) Ending() context.Context { return r.ending }

// Context returns a context that also ends with End, with the cause ErrEnd; the caller must call the returned function.
func (r *Requests) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	stop := context.AfterFunc(r.ending, func() { end(ErrEnd) })
	return ctx, func() {
		stop()
		end(nil)
	}
}

// Handle returns a handler whose requests end with End.
func (r *Requests) Handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx, stop := r.Context(req.Context())
		defer stop()
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}
