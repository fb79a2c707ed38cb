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
	// chunksInFlight bounds what one direction holds to 1 MB, which allows 20 MB/s at a
	// one-way delay of 50 ms.
	chunksInFlight = 64
)

// buffers saves an allocation for each read.
var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

type (
	// link is one connection through the relay; the relay's mutex guards silent and closed.
	link struct {
		relay  *Relay
		ends   [directions]net.Conn
		silent bool
		closed bool
	}

	// chunk is a piece of a byte stream; one without bytes marks the stream's end.
	chunk struct {
		bytes []byte
		// buffer holds the bytes and is used again after their delivery.
		buffer *[chunkSize]byte
		due    time.Time
		// failed says that the stream ended with an error, which is passed on as a reset.
		failed bool
	}
)

func (l *link) run() {
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(Forward) })
	pumps.Go(func() { l.pump(Backward) })
	pumps.Wait()
}

// reset closes both ends so that the peers see a reset; the relay's mutex must be held
// unless the link is not registered.
func (l *link) reset() {
	l.closed = true
	for _, end := range l.ends {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

func (l *link) pump(direction Direction) {
	source, sink := l.ends[direction], l.ends[1-direction]
	chunks := make(chan chunk, chunksInFlight)
	done := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { l.read(direction, source, chunks, done) })
	l.write(direction, sink, chunks)
	close(done)
	reader.Wait()
}

// read passes on chunks until the stream ends or the writer is done.
func (l *link) read(direction Direction, source net.Conn, chunks chan<- chunk, done <-chan struct{}) {
	for {
		buffer := buffers.Get().(*[chunkSize]byte)
		count, err := source.Read(buffer[:])
		if count == 0 {
			buffers.Put(buffer)
		} else if !l.offer(direction, chunk{bytes: buffer[:count], buffer: buffer}, chunks, done) {
			return
		}
		if err != nil {
			l.offer(direction, chunk{failed: !errors.Is(err, io.EOF)}, chunks, done)
			return
		}
	}
}

func (l *link) offer(direction Direction, next chunk, chunks chan<- chunk, done <-chan struct{}) bool {
	next.due = l.relay.due(direction)
	select {
	case chunks <- next:
		return true
	case <-done:
		return false
	}
}

// write delivers chunks under the relay's conditions; a silent link swallows them.
func (l *link) write(direction Direction, sink net.Conn, chunks <-chan chunk) {
	for next := range chunks {
		passing := l.relay.waitTurn(l, direction, next)
		if next.bytes == nil {
			if passing {
				l.end(sink, next.failed)
			}
			return
		}
		if passing {
			if _, err := sink.Write(next.bytes); err != nil {
				l.fail()
				return
			}
		}
		buffers.Put(next.buffer)
	}
}

// end passes on the end of a stream: a close as a close, an error as a reset.
func (l *link) end(sink net.Conn, failed bool) {
	if failed {
		l.fail()
		return
	}
	if tcp, ok := sink.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// fail resets both ends after one of them failed, unless the link is silent: then the
// other side must not learn of it.
func (l *link) fail() {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	if !l.silent {
		l.reset()
	}
}
