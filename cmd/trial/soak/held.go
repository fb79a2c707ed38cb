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
	// heldPause keeps streams open after their first event.
	heldPause = time.Minute
	// heldEngines have room for all held streams.
	heldEngines = 50
)

// Held is the resident memory of a host before and while it holds streams and idle connections.
type Held struct{ Before, With spoke.ByteSize }

// Hold measures the first host of a new set-up while it holds open streams and idle connections.
func Hold(program, directory string, streams, idle int) (Held, error) {
	w, err := newWorld(program, directory)
	defer w.close()
	if err != nil {
		return Held{}, err
	}
	for len(w.engines) < heldEngines {
		if err := w.addEngine(); err != nil {
			return Held{}, err
		}
	}
	for _, e := range w.engines {
		e.SetEventInterval(heldPause)
	}
	if !w.awaitReady(recovery) {
		return Held{}, eris.New("hosts are not ready")
	}
	process, err := w.fleet.Process(w.hosts[0].name)
	if err != nil {
		return Held{}, err
	}
	var held Held
	if held.Before, err = cost.ResidentSize(process.ID()); err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range streams {
		if err := w.open(ctx, client, i); err != nil {
			return held, err
		}
	}
	for range idle {
		conn, err := net.Dial("tcp", w.hosts[0].caller)
		if err != nil {
			return held, eris.Wrap(err, "idle connection")
		}
		defer conn.Close()
	}
	held.With, err = cost.ResidentSize(process.ID())
	return held, err
}

// open begins a stream and returns after its first event; the stream ends with ctx.
func (w *world) open(ctx context.Context, client *http.Client, number int) error {
	call := fake.Call{
		HostAddress: w.hosts[0].caller, HostName: hostName, Path: "/" + chat + "/x", RequestID: fmt.Sprintf("held-%d", number),
		APIKey: steadyKey, Body: "body", Timeout: heldPause, PrefixHashes: "aa:100,bb:150,cc:50",
	}
	request, err := call.Request()
	if err != nil {
		return err
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return eris.Wrap(err, "held stream")
	}
	context.AfterFunc(ctx, func() { _ = response.Body.Close() })
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		return eris.Wrapf(err, "first event of a held stream, status %d", response.StatusCode)
	}
	return nil
}
