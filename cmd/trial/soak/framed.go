package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	framedCallerCount = 40
	// troubledCallerCount replaces it beside the callers that take streams up.
	troubledCallerCount = 24
)

type (
	// exchange is one call as its caller observed it.
	exchange struct {
		id       string
		host     *host
		route    string
		isHTTP10 bool
		// sentAt is the time after the last byte of the request, endedAt that of the end of the answer.
		sentAt, endedAt time.Time
		status          int
		body            string
		// err is set unless the answer looks complete.
		err error

		// stream is the id of the request that began the stream, after the last event that the caller had, and try the number
		// of times that it had taken the stream up, all for testbeds with troubles.
		stream     string
		after, try int
		// maxOutput is the most output tokens, zero for the usual number.
		maxOutput int
		// hasLeft is set if the caller left before the end of the answer.
		hasLeft bool
	}

	// framedCaller sends calls in turn, each on a connection of its own or on a kept one.
	framedCaller struct {
		bed    *processBed
		random *rand.Rand
		number int

		host   *host
		conn   net.Conn
		reader *bufio.Reader
	}
)

// runFramed sends calls from all callers until ctx ends and returns them.
func (b *processBed) runFramed(ctx context.Context, seed uint64) []exchange {
	var mu sync.Mutex
	var all []exchange
	var group sync.WaitGroup
	callers := framedCallerCount
	if b.hasTroubles {
		callers = troubledCallerCount
	}
	for number := range callers {
		c := &framedCaller{bed: b, random: rand.New(rand.NewPCG(seed, uint64(10+number))), number: number}
		group.Go(func() {
			var own []exchange
			for count := 0; ctx.Err() == nil; count++ {
				if x, ok := c.call(fmt.Sprintf("f-%03d-%05d", c.number, count)); ok {
					own = append(own, x)
				}
				sleep(ctx, callerPause)
			}
			c.close()
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	group.Wait()
	return all
}

func (x exchange) isStream() bool { return x.route == chat || x.route == quote }

// call makes one call; ok is false if no host took the connection or the request.
func (c *framedCaller) call(id string) (x exchange, ok bool) {
	x = exchange{id: id, stream: id, route: []string{chat, quote, chat, quote, book, look}[c.random.IntN(6)], isHTTP10: c.number%4 == 0}
	if c.bed.hasTroubles {
		x.maxOutput = maxOutputOf(id)
	}
	isChunked := !x.isHTTP10 && c.random.IntN(2) == 0
	if c.conn == nil && !c.connect() {
		return x, false
	}
	x.host = c.host
	request, raw := x.request(isChunked)
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.conn.Write(raw); err != nil {
		c.close()
		return x, false
	}
	x.sentAt = time.Now()
	isKept := c.read(request, &x)
	x.endedAt = time.Now()
	// Odd-numbered callers reuse connections until the host closes them.
	if !isKept || c.number%2 == 0 {
		c.close()
	}
	return x, true
}

func (c *framedCaller) connect() bool {
	c.host = c.bed.hosts[c.random.IntN(len(c.bed.hosts))]
	conn, err := net.DialTimeout("tcp", c.host.callerAddress, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *framedCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// request returns the request of a call and its bytes.
func (x exchange) request(isChunked bool) (*http.Request, []byte) {
	call := fake.Call{
		HostAddress: x.host.callerAddress, HostName: hostName, Path: "/" + x.route + "/x", RequestID: x.id, APIKey: permanentKey, Body: bodyOf(x.id),
		Timeout: processRouteTimeout, MaxOutput: x.maxOutput,
	}
	if x.after > 0 {
		call.Resumes, call.LastEventID = x.stream, strconv.Itoa(x.after)
	}
	if x.isStream() {
		call.PrefixHashes = "aa:100,bb:150," + fmt.Sprintf("%x", x.id) + ":50"
	}
	request, err := call.Request()
	if err != nil {
		panic(err)
	}
	if isChunked {
		request.ContentLength = -1
	}
	var raw bytes.Buffer
	if err := request.Write(&raw); err != nil {
		panic(err)
	}
	if x.isHTTP10 {
		return request, bytes.Replace(raw.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1)
	}
	return request, raw.Bytes()
}

// read reads the answer and reports whether its connection can be used again.
func (c *framedCaller) read(request *http.Request, x *exchange) bool {
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		x.err = err
		return false
	}
	defer response.Body.Close()
	x.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	x.body, x.err = string(body), err
	return err == nil && !response.Close
}
