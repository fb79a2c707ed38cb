package caller

import (
	"net/http"
	"time"
)

// Handle returns a handler whose requests end when their callers have left; Watch notices that once a body is read.
func Handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := Watch(r, func(time.Time) bool { return false })
		defer stop()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
