package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize = 16 << 10
	// chunksInFlight bounds the data buffered for one direction to 1 MB, which allows 20 MB/s
	// at a one-way delay of 50 ms.
	chunksInFlight = 64
)

// buffers avoids an allocation for each read.
var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

type (
	// connection is one connection through the relay; the relay's mutex guards silent, closed and dropped.
	connection struct {
		relay  *Relay
		ends   [directions]net.Conn
		silent bool
		closed bool
		// dropped marks directions whose held-up bytes are lost, since their sender reset the connection during a cut.
		dropped [directions]bool
	}

	// chunk is a part of a byte stream; a chunk without bytes marks the stream's end.
	chunk struct {
		bytes []byte
		// buffer backs bytes and is returned to the pool after delivery.
		buffer *[chunkSize]byte
		due    time.Time
		// failed reports whether the stream ended with an error, which is forwarded as a reset.
		failed bool
	}
)

func (c *connection) run() {
	var transfers sync.WaitGroup
	transfers.Go(func() { c.transfer(Forward) })
	transfers.Go(func() { c.transfer(Backward) })
	transfers.Wait()
}

// reset closes both ends with a TCP reset; the relay's mutex must be held unless the
// connection is not registered.
func (c *connection) reset() {
	c.closed = true
	for _, end := range c.ends {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// dropHeldUp drops the bytes of directions whose sender has reset the connection; the relay's mutex must be held.
func (c *connection) dropHeldUp() {
	for direction, end := range c.ends {
		if end != nil && isReset(end) {
			c.dropped[direction] = true
		}
	}
}

func (c *connection) transfer(direction Direction) {
	source, sink := c.ends[direction], c.ends[1-direction]
	chunks := make(chan chunk, chunksInFlight)
	done := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { c.read(direction, source, chunks, done) })
	c.write(direction, sink, chunks)
	close(done)
	reader.Wait()
}

// read enqueues chunks until the stream ends or the writer is done.
func (c *connection) read(direction Direction, source net.Conn, chunks chan<- chunk, done <-chan struct{}) {
	for {
		buffer := buffers.Get().(*[chunkSize]byte)
		count, err := source.Read(buffer[:])
		if count == 0 {
			buffers.Put(buffer)
		} else if !c.enqueue(direction, chunk{bytes: buffer[:count], buffer: buffer}, chunks, done) {
			return
		}
		if err != nil {
			c.enqueue(direction, chunk{failed: !errors.Is(err, io.EOF)}, chunks, done)
			return
		}
	}
}

func (c *connection) enqueue(direction Direction, next chunk, chunks chan<- chunk, done <-chan struct{}) bool {
	next.due = c.relay.earliestDelivery(direction)
	select {
	case chunks <- next:
		return true
	case <-done:
		return false
	}
}

// write delivers chunks subject to the relay's simulated conditions; a silent connection and one that
// was reset during a cut discard them.
func (c *connection) write(direction Direction, sink net.Conn, chunks <-chan chunk) {
	for next := range chunks {
		delivering := c.relay.waitForDelivery(c, direction, next)
		if next.bytes == nil {
			if delivering {
				c.end(sink, next.failed)
			}
			return
		}
		if delivering && !c.hasDropped(direction) {
			if _, err := sink.Write(next.bytes); err != nil {
				c.fail()
				return
			}
		}
		buffers.Put(next.buffer)
	}
}

func (c *connection) hasDropped(direction Direction) bool {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	return c.dropped[direction]
}

// end forwards the end of a stream: a close as a close, an error as a reset.
func (c *connection) end(sink net.Conn, failed bool) {
	if failed {
		c.fail()
		return
	}
	if tcp, ok := sink.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// fail resets both ends after one of them failed, unless the connection is silent, because
// the other side must not detect the end of a silent connection.
func (c *connection) fail() {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	if !c.silent {
		c.reset()
	}
}
