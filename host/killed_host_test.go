package host_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// hostProcess is the variable that makes the test program a host process; it holds the settings.
	hostProcess = "SPOKE_TEST_HOST"
	endMark     = "data: [DONE]\n\n"
)

func TestMain(m *testing.M) {
	if os.Getenv(hostProcess) != "" {
		runHostProcess()
		return
	}
	if os.Getenv(serviceProcess) != "" {
		runServiceProcess()
		return
	}
	os.Exit(m.Run())
}

// runHostProcess runs a host until the end of standard input and writes its address for callers.
func runHostProcess() {
	var settings config.Entry
	if err := json.Unmarshal([]byte(os.Getenv(hostProcess)), &settings); err != nil {
		panic(err)
	}
	listeners, err := host.Listen(settings)
	if err != nil {
		panic(err)
	}
	fmt.Println(listeners.Caller.Addr())
	go func() {
		_ = host.New(settings, listeners, host.DiscardLog(), timer.NewSystem(), nil).Run(context.Background())
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startHostProcess starts another host as a process that serves calls, and returns its address and a function that
// kills it.
func (p *hostPair) startHostProcess() (address string, kill func()) {
	p.t.Helper()
	settings := hostSettings("h2", p.serve(p.platform))
	for i, s := range p.servers {
		settings.Peers = append(settings.Peers, config.Peer{Host: spoke.HostID(fmt.Sprint("h", i)), DataCentre: "dc1", Address: spoke.Address(s.listeners.Internal.Addr().String())})
	}
	encoded, err := json.Marshal(settings)
	assert.NilError(p.t, err)
	address, _, kill = startProcess(p.t, hostProcess, string(encoded))
	p.wait("host process", func() bool {
		raw, err := io.ReadAll(openOld(p.t, address, 1))
		return err == nil && strings.HasPrefix(string(raw), "HTTP/1.0 200 OK\r\n")
	})
	return address, kill
}

// startProcess runs the test program with a variable and returns the address that it writes, its further lines and a
// function that kills it.
func startProcess(t *testing.T, variable, value string) (address string, lines *bufio.Reader, kill func()) {
	t.Helper()
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), variable+"="+value)
	input, err := process.StdinPipe()
	assert.NilError(t, err)
	output, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	t.Cleanup(func() {
		_ = input.Close()
		_ = process.Wait()
	})
	lines = bufio.NewReader(output)
	line, err := lines.ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(line), lines, func() { assert.NilError(t, process.Process.Kill()) }
}

// openOld requests a stream of a number of tokens in HTTP/1.0 and returns the connection.
func openOld(t *testing.T, address string, tokens int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(6*time.Second)))
	body := completionBody(tokens, true)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\n%sContent-Length: %d\r\n\r\n%s", completionsPath, authorization, len(body), body)
	assert.NilError(t, err)
	return conn
}

// Guards against streams of a killed host that end in the regular way at callers without chunks, and against whole ones
// that do not.
func TestStreamOfKilledHostIsReset(t *testing.T) {
	p := startPair(t)
	address, kill := p.startHostProcess()
	raw, err := io.ReadAll(openOld(t, address, answerTokens))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(raw), endMark), "%q", raw)

	reader := bufio.NewReader(openOld(t, address, answerTokens))
	for line := ""; !strings.HasPrefix(line, "data:"); {
		line, err = reader.ReadString('\n')
		assert.NilError(t, err)
	}
	kill()
	rest, err := io.ReadAll(reader)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v after %q", err, rest)
	assert.Assert(t, !strings.HasSuffix(string(rest), endMark))
}

// Guards against streams that the host breaks off in the regular way at callers without chunks.
func TestBrokenStreamResetsCallerWithoutChunks(t *testing.T) {
	p := startPair(t)
	var hasBegun atomic.Bool
	shape := frame.Shapes()[0]
	shape.Path, shape.Cut = completionsPath, func(body []byte) []byte {
		if hasBegun.Swap(true) {
			return cutPoints["first event"](body)
		}
		return cutPoints["later event"](body)
	}
	p.engines[0].SetShape(shape)
	raw, err := io.ReadAll(openOld(t, p.servers[0].listeners.Caller.Addr().String(), answerTokens))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v after %q", err, raw)
	assert.Assert(t, strings.Contains(string(raw), http.StatusText(http.StatusOK)) && !strings.Contains(string(raw), endMark), "%q", raw)
}
