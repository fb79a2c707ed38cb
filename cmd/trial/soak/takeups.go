package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	takeUpCallers = 14
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 3
	// connectTries bounds the hosts that a caller tries for one call.
	connectTries = 10
	takeUpPause  = 60 * time.Millisecond
	// wholeAnswer exceeds the events of all answers.
	wholeAnswer = 1000
)

// takeUpCaller begins streams, leaves them or is cut, and takes them up at other hosts.
type takeUpCaller struct {
	bed    *processBed
	random *rand.Rand
	number int
}

// maxOutputOf returns the most output tokens of a stream: for half of the streams the number of its pieces, so that it is
// known that nothing follows the last one, zero for others.
func maxOutputOf(stream string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte("maximum " + stream))
	if hash.Sum32()>>7%2 == 0 {
		return fake.LastPiece
	}
	return 0
}

// runTakeUps takes streams up until ctx ends and returns all calls, those of one stream in order.
func (b *processBed) runTakeUps(ctx context.Context, seed uint64) []exchange {
	var mu sync.Mutex
	var all []exchange
	var group sync.WaitGroup
	for number := range takeUpCallers {
		c := &takeUpCaller{bed: b, random: rand.New(rand.NewPCG(seed, uint64(100+number))), number: number}
		group.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				tries := c.stream(ctx, fmt.Sprintf("t-%03d-%05d", c.number, count))
				mu.Lock()
				all = append(all, tries...)
				mu.Unlock()
				sleep(ctx, callerPause)
			}
		})
	}
	group.Wait()
	return all
}

// stream begins a stream and takes it up until it is complete or has been taken up often enough.
func (c *takeUpCaller) stream(ctx context.Context, id string) []exchange {
	var tries []exchange
	last := 0
	var before *host
	for try := 0; try <= maxTakeUps && last < fake.LastPiece && ctx.Err() == nil; try++ {
		if try > 0 && last == 0 {
			break
		}
		x := exchange{id: id, stream: id, route: chat, after: last, try: try, maxOutput: maxOutputOf(id)}
		if try > 0 {
			x.id = fmt.Sprintf("%s.%d", id, try)
			sleep(ctx, takeUpPause)
		}
		if !c.call(ctx, &x, before) {
			break
		}
		before = x.host
		tries = append(tries, x)
		if pieces, _ := fake.ParsePieces(x.body); len(pieces) > 0 {
			last = max(last, pieces[len(pieces)-1].Number)
		}
	}
	return tries
}

// call makes one call at another host than the one before and reports whether a host took it.
func (c *takeUpCaller) call(ctx context.Context, x *exchange, before *host) bool {
	conn := c.connect(ctx, x, before)
	if conn == nil {
		return false
	}
	defer conn.Close()
	request, raw := x.request(c.random.IntN(2) == 0)
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := conn.Write(raw); err != nil {
		return false
	}
	x.sentAt = time.Now()
	count := wholeAnswer
	if c.random.IntN(3) > 0 {
		count = 1 + c.random.IntN(fake.LastPiece-1)
	}
	c.read(conn, request, x, count)
	x.endedAt = time.Now()
	if tcp := conn.(*net.TCPConn); x.hasLeft && c.random.IntN(2) == 0 {
		_ = tcp.SetLinger(0)
	}
	return true
}

func (c *takeUpCaller) connect(ctx context.Context, x *exchange, before *host) net.Conn {
	for range connectTries {
		h := c.bed.hosts[c.random.IntN(len(c.bed.hosts))]
		if h == before {
			continue
		}
		conn, err := net.DialTimeout("tcp", h.callerAddress, time.Second)
		if err == nil {
			x.host = h
			return conn
		}
		sleep(ctx, takeUpPause)
	}
	return nil
}

// read reads the answer up to so many events.
func (c *takeUpCaller) read(conn net.Conn, request *http.Request, x *exchange, count int) {
	//nolint:bodyclose // The connection is closed behind it and with it the body, whose end the caller does not wait for.
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		x.err = err
		return
	}
	x.status = response.StatusCode
	var body strings.Builder
	buffer := make([]byte, 1<<10)
	for err == nil && strings.Count(body.String(), "\n\n") < count {
		var n int
		n, err = response.Body.Read(buffer)
		body.Write(buffer[:n])
	}
	x.body, x.hasLeft = body.String(), err == nil
	if err != nil && !errors.Is(err, io.EOF) {
		x.err = err
	}
}
