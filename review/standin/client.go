package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var (
	requestNumber atomic.Uint64
	// sent is the record of what consumers send and get.
	sent *record
)

type (
	// call is one consumer attempt.
	call struct {
		method, path string
		key          string
		deadline     time.Duration
		header       map[string]string
		body         []byte
	}

	// result is the answer to a call as the consumer saw it.
	result struct {
		id     string
		status int
		stamp  string
		body   []byte
		err    error
		took   time.Duration
	}

	// channel is a consumer's channel to a host.
	channel struct {
		conn   net.Conn
		reader *bufio.Reader
	}
)

const hostName = "pule25.example"

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+requestNumber.Add(1)) }

func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends a call on the channel, reads its whole answer and records both.
func (c *channel) do(k call, id string) result {
	begun := time.Now()
	sent.add("sent %s to %s: %s %s, %d bytes", id, c.conn.RemoteAddr(), k.method, k.path, len(k.body))
	got := result{id: id}
	if err := c.send(k, id); err != nil {
		got.err = fmt.Errorf("send: %w", err)
	} else {
		got = c.receive(k, id)
	}
	got.took = time.Since(begun)
	sent.add("answered %v", got)
	return got
}

func (c *channel) send(k call, id string) error {
	var message bytes.Buffer
	_, _ = fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n%sRequest-Id: %s\r\n%sDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		k.method, k.path, hostName, prefixHdr, id, prefixHdr, k.deadline.Milliseconds(), k.key)
	for name, value := range k.header {
		_, _ = fmt.Fprintf(&message, "%s: %s\r\n", name, value)
	}
	if k.method != http.MethodGet {
		_, _ = fmt.Fprintf(&message, "Content-Length: %d\r\n", len(k.body))
	}
	message.WriteString("\r\n")
	message.Write(k.body)
	_ = c.conn.SetWriteDeadline(time.Now().Add(k.deadline + 2*time.Second))
	_, err := c.conn.Write(message.Bytes())
	return err
}

func (c *channel) receive(k call, id string) result {
	_ = c.conn.SetReadDeadline(time.Now().Add(k.deadline + 2*time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
	if err != nil {
		return result{id: id, err: fmt.Errorf("read answer: %w", err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{id: id, status: response.StatusCode, stamp: response.Header.Get(prefixHdr + "Server-Stamp"), body: body, err: err}
}

// once sends a call on a channel of its own.
func once(address string, k call) result {
	id := newID()
	c, err := open(address)
	if err != nil {
		return result{id: id, err: err}
	}
	defer c.close()
	return c.do(k, id)
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no whole answer after %d ms: %v", r.id, r.took.Milliseconds(), r.err)
	}
	stamped := "no engine's stamp"
	if r.stamp != "" {
		stamped = "stamp " + r.stamp
	}
	return fmt.Sprintf("%s: %d after %d ms, %s", r.id, r.status, r.took.Milliseconds(), stamped)
}
