package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/fake/ports"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	hostName = "calls.example"
	route    = "look"
	key      = "key-steady"
	service  = "models"
	// processName names the process in its fleet.
	processName = "host"
	callTimeout = 3 * time.Second
)

type (
	// Limits are the limits of the machine in the settings of a process.
	Limits struct {
		Memory      spoke.ByteSize
		Descriptors int
	}

	// Bed is an entry host that runs as a process, with its store and its engine.
	Bed struct {
		// Caller, Readiness, Peer and Metrics are the addresses of its listeners.
		Caller, Readiness, Peer, Metrics spoke.Address

		process *fleet.Process
		fleet   *fleet.Fleet
		store   *fake.Store
		engine  *fake.Engine
		calls   int
	}

	// Use is what a process holds.
	Use struct {
		// Resident is its largest resident memory until now.
		Resident    spoke.ByteSize
		Descriptors int
	}
)

// Start starts an entry host of a program, with its log in a directory; the caller must call Close.
func Start(program, directory string, limits Limits) (*Bed, error) {
	b := &Bed{fleet: fleet.New(directory), store: fake.NewStore(), engine: fake.NewEngine("i-1", 1)}
	b.store.PutConfig(1, hostName, service, "workspace-1", []string{key}, []fake.Route{{Name: route, Kind: "safe", MaxAttempts: 2}})
	b.store.PutEngine(b.engine, service, b.engine.Address(), false)
	b.putLimits()
	if err := b.start(program, directory, limits); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// putLimits writes a table with the limits for callers that operators use.
func (b *Bed) putLimits() {
	b.store.Put("op/config", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": route, "host": hostName, "prefix": "/" + route + "/", "route-type": "safe", "timeout-ms": callTimeout.Milliseconds(),
			"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": service, "max-conns": 100, "engine": map[string]any{"slots": 8, "kv-capacity-tokens": 100000, "kv-token-bytes": 1000, "link-mbps": 100000}}},
		"limits":   map[string]any{"max-header-bytes": headBytes, "max-body-bytes": longBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "workspace-1", "api-keys": []string{key}}},
	})
}

func (b *Bed) start(program, directory string, limits Limits) error {
	var free [4]int
	for i := range free {
		port, err := ports.Free()
		if err != nil {
			return err
		}
		free[i] = port
	}
	address := func(port int) spoke.Address { return spoke.Address("127.0.0.1:" + strconv.Itoa(port)) }
	b.Caller, b.Readiness, b.Peer, b.Metrics = address(free[0]), address(free[1]), address(free[2]), address(free[3])
	settings := fmt.Sprintf(`host-id = "host-1"
data-centre = "a"
caller-address = %q
readiness-address = %q
store-address = %q
peer-port = %d
metrics-port = %d
memory-limit-mb = %d
descriptor-limit = %d
config-apply-ms = 2000
weights-apply-ms = 6000
orders-pause-ms = 1500
leave-notice-ms = 2000
stop-grace-s = 8
retry-share = 0.2
retry-reserve = 60
retry-window-s = 10
`, b.Caller, b.Readiness, b.store.Address(), free[2], free[3], limits.Memory>>20, limits.Descriptors)
	path := filepath.Join(directory, processName+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	var err error
	b.process, err = b.fleet.Start(context.Background(), fleet.Command{Name: processName, Program: program, Arguments: []string{"--settings", path}})
	return err
}

// Close ends the process, its store and its engine.
func (b *Bed) Close() {
	b.fleet.Close()
	b.store.Close()
	b.engine.Close()
}

// Running reports whether the process that was started has not ended.
func (b *Bed) Running() bool { return b.process.Running() }

// Log returns the end of the log of the process.
func (b *Bed) Log() string { return b.process.LogTail() }

// Use returns what the process holds.
func (b *Bed) Use() (Use, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.process.ID()))
	if err != nil {
		return Use{}, eris.Wrap(err, "status of the process")
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	var kilobytes spoke.ByteSize
	if _, err := fmt.Sscan(string(rest), &kilobytes); err != nil {
		return Use{}, eris.Wrap(err, "resident memory")
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.process.ID()))
	return Use{Resident: kilobytes << 10, Descriptors: len(open)}, eris.Wrap(err, "descriptors of the process")
}

// Send sends one request of a kind on a connection of its own and returns the status of its answer.
func (b *Bed) Send(kind Kind) (int, error) {
	conn, err := net.DialTimeout("tcp", string(b.Caller), sendTime)
	if err != nil {
		return 0, eris.Wrap(err, "connect")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * sendTime)); err != nil {
		return 0, eris.Wrap(err, "deadline")
	}
	if err := kind.send(conn, 0); err != nil {
		return 0, eris.Wrap(err, "send")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, eris.Wrap(err, "read answer")
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// Call sends one ordinary call on a connection of its own and returns its status.
func (b *Bed) Call() (int, error) {
	b.calls++
	request, err := fake.Call{
		HostAddress: string(b.Caller), HostName: hostName, Path: "/" + route + "/x", RequestID: fmt.Sprintf("ordinary-%d", b.calls),
		APIKey: key, Body: "body", Timeout: callTimeout,
	}.Request()
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "ordinary call")
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
