package caller

import (
	"context"
	"io"
	"net/http"
	"time"
)

// maxDiscardBytes bounds the part of a body that is read after the answer, in bytes.
const maxDiscardBytes = 64 << 20

// AllowEarlyAnswer lets a handler answer before it has read the whole body. Otherwise the server would read up
// to 256 KB of it first.
func AllowEarlyAnswer(w http.ResponseWriter) {
	// The error is ignored: writers without full duplex are not those of a server.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// Discard sends the answer and reads the rest of the body until the deadline or the end of ctx. Closing a connection
// with unread bytes resets it, and a caller that reads the answer only after it has sent its body would lose the
// answer.
func Discard(ctx context.Context, w http.ResponseWriter, r *http.Request, deadline time.Time) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(deadline) != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // The answer is sent; the connection ends if the body does not.
}
