package link

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke/dial"
)

const (
	// readBufferBytes is enough for the head of a response and some events.
	readBufferBytes = 2 << 10
	// rememberedKeys is the number of requests behind which a copy of a response is still recognized as late.
	rememberedKeys = 16
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	limit  *limitedReader
	// reusableUntil is the time after which the upstream may close the idle connection.
	reusableUntil time.Time
	// idleSince is the end of the previous exchange.
	idleSince time.Time
	isReused  bool
	// keys are hashes of the keys of the latest requests, a ring in which nextKey is the oldest.
	keys    [rememberedKeys]uint64
	nextKey int
	// hasCarriedHead is set once a request had the method HEAD: the body of its response cannot be told from the
	// head.
	hasCarriedHead bool
}

func newConn(raw net.Conn) *conn {
	limited := &limitedReader{Reader: raw, remaining: unlimited}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limited, readBufferBytes), limit: limited}
}

// abort closes the connection of an exchange that has not ended. A reset drops the bytes that a partition holds up, which
// would otherwise arrive and run behind it.
func (c *conn) abort() { _ = dial.Reset(c.Conn) }

// record remembers a request that the connection carries.
func (c *conn) record(request Request) {
	c.hasCarriedHead = c.hasCarriedHead || request.Method == http.MethodHead
	if request.Key == "" {
		return
	}
	c.keys[c.nextKey] = xxhash.Sum64String(request.Key)
	c.nextKey = (c.nextKey + 1) % rememberedKeys
}

// hasCarried reports whether one of the latest requests had the key, so that a late copy of its response would look like
// that to another request with the key.
func (c *conn) hasCarried(key string) bool {
	return key != "" && slices.Contains(c.keys[:], xxhash.Sum64String(key))
}

// isOpenAndEmpty reports whether an idle connection is open and has no unread bytes, which would
// belong to no request.
func (c *conn) isOpenAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if checked, ok := c.Conn.(interface{ IsOpenAndEmpty() bool }); ok {
		return checked.IsOpenAndEmpty()
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	return dial.IsOpenAndEmpty(raw)
}
