package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"

	"magnoliaspoke.example/spoke/cmd/trial/cost"
)

const (
	// eventPause is the pause between events, long enough that streams stay open after the first.
	eventPause = time.Minute
	// memoryEngineCount is the number of engines, which suffices for the streams of all tests.
	memoryEngineCount = 50
)

// MemoryUse is the resident memory of a host before it holds open streams and idle connections,
// and while it holds them.
type MemoryUse struct{ Before, Loaded spoke.ByteSize }

// MeasureMemory returns the resident memory of one entry host before and while it holds open
// streams and idle connections.
func MeasureMemory(program, directory string, streams, idle int) (MemoryUse, error) {
	b, err := newTestbed(program, directory, options{})
	defer b.close()
	if err != nil {
		return MemoryUse{}, err
	}
	for len(b.engines) < memoryEngineCount {
		if err := b.addEngine(); err != nil {
			return MemoryUse{}, err
		}
	}
	for _, e := range b.engines {
		e.SetEventInterval(eventPause)
	}
	if !b.awaitReady() {
		return MemoryUse{}, eris.New("hosts are not ready")
	}
	process, err := b.fleet.Process(b.hosts[0].name)
	if err != nil {
		return MemoryUse{}, err
	}
	var use MemoryUse
	if use.Before, err = cost.ResidentSize(process.ID()); err != nil {
		return use, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range streams {
		if err := b.openStream(ctx, client, i); err != nil {
			return use, err
		}
	}
	for range idle {
		conn, err := net.Dial("tcp", b.hosts[0].callerAddress)
		if err != nil {
			return use, eris.Wrap(err, "idle connection")
		}
		defer conn.Close()
	}
	use.Loaded, err = cost.ResidentSize(process.ID())
	return use, err
}

// openStream starts a stream and returns after its first event; the stream ends with ctx.
func (b *testbed) openStream(ctx context.Context, client *http.Client, number int) error {
	call := fake.Call{
		HostAddress: b.hosts[0].callerAddress, HostName: hostName, Path: "/" + chat + "/x", RequestID: fmt.Sprintf("held-%d", number),
		APIKey: permanentKey, Body: "body", Timeout: eventPause, PrefixHashes: "aa:100,bb:150,cc:50",
	}
	request, err := call.Request()
	if err != nil {
		return err
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return eris.Wrap(err, "open stream")
	}
	context.AfterFunc(ctx, func() { _ = response.Body.Close() })
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		return eris.Wrapf(err, "read the first event of a stream, status %d", response.StatusCode)
	}
	return nil
}
