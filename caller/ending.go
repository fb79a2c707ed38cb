package caller

import (
	"net"
	"net/http"
)

// defaultLinger lets the kernel deliver unsent bytes after Close.
const defaultLinger = -1

// answerEnding says how the connection ends under an answer that may have neither a length nor chunks, so that the end of
// the connection is the end of the answer.
type answerEnding struct {
	// resets is set while the kernel resets the connection if the process ends.
	resets bool
	// isHandled is set once the handler has returned.
	isHandled bool
	// hasFailed is set once bytes of the answer were not written.
	hasFailed bool
}

// resetUnfinished returns a handler whose answers to callers without chunks end in a reset unless they are whole, even if
// the process is killed: the kernel ends the connections of a process in the regular way, which is the end of an answer
// without a length.
func resetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		c.beginAnswer()
		next.ServeHTTP(w, r)
		c.setHandled()
	})
}

// finishReused returns a ConnState function that finishes the answer on a connection that is used again.
func finishReused(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(accepted net.Conn, state http.ConnState) {
		if c, ok := accepted.(*conn); ok && state == http.StateIdle {
			c.finishAnswer()
		}
		if next != nil {
			next(accepted, state)
		}
	}
}

// beginAnswer makes the kernel reset the connection if it is closed before the answer is whole.
func (c *conn) beginAnswer() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.ending = answerEnding{resets: c.SetLinger(0) == nil}
}

func (c *conn) setHandled() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.ending.isHandled = true
}

// finishAnswer lets the connection end in the regular way if the whole answer was written. A write that is under way
// shows that it was not.
func (c *conn) finishAnswer() {
	if !c.writing.TryLock() {
		return
	}
	defer c.writing.Unlock()
	if c.ending.resets && c.ending.isHandled && !c.ending.hasFailed {
		c.ending.resets = c.SetLinger(defaultLinger) != nil
	}
}
