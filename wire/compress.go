package wire

import (
	"bytes"
	"compress/gzip"

	"magnoliaspoke.example/spoke/pool"
)

const (
	// minCompressBytes is the size from which gzip saves more than it costs.
	minCompressBytes = 1024
)

var (
	// gzipWriters pools the writers, because a new one allocates about 800 KB. Without the
	// pool, that took a third of the processor time of heartbeats.
	gzipWriters = pool.New(func() *gzip.Writer {
		// BestSpeed is a valid level, so there is no error.
		writer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
		return writer
	})
)

// compress returns the gzip form of a body and true, or the body itself if it is short.
func compress(body []byte) ([]byte, bool) {
	if len(body) < minCompressBytes {
		return body, false
	}
	var out bytes.Buffer
	writer := gzipWriters.Get()
	defer gzipWriters.Put(writer)
	writer.Reset(&out)
	if _, err := writer.Write(body); err != nil {
		return body, false
	}
	if err := writer.Close(); err != nil {
		return body, false
	}
	return out.Bytes(), true
}
