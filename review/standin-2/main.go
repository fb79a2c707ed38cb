// Command standin-2 holds the stand-ins of the cases from 6 on, and the cases themselves.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

var (
	sayMu  sync.Mutex
	sayOut = os.Stdout
)

// say writes a line of the record.
func say(what string, pairs ...any) {
	line := map[string]any{"at_ms": time.Now().UnixMilli(), "what": what}
	for i := 0; i+1 < len(pairs); i += 2 {
		line[fmt.Sprint(pairs[i])] = pairs[i+1]
	}
	raw, _ := json.Marshal(line)
	sayMu.Lock()
	defer sayMu.Unlock()
	_, _ = sayOut.Write(append(raw, '\n'))
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		os.Exit(2)
	}
}

func main() {
	if len(os.Args) < 2 {
		check(fmt.Errorf("no case"))
	}
	if os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		check(fmt.Errorf("no case %s", os.Args[1]))
	}
	b := newBed()
	time.AfterFunc(maxTime, func() {
		b.close()
		check(fmt.Errorf("not done after %s", maxTime))
	})
	code := run(b, os.Getenv("TROUBLE") != "0")
	b.close()
	os.Exit(code)
}

// bed is a small deployment: the store, engines as processes, and the system's own processes.
type bed struct {
	store   *store
	dir     string
	mu      sync.Mutex
	procs   map[int]*exec.Cmd
	engines []*supervised
	hosts   []*host
	lines   []map[string]any
}

type host struct {
	door                *door
	name, caller, ready string
	cmd                 *exec.Cmd
	ended               chan struct{}
	settings            string
}

// supervised is an engine whose supervisor keeps its listening socket and starts it again after a crash.
type supervised struct {
	bed   *bed
	id    string
	args  []string
	addr  string
	file  *os.File
	cmd   *exec.Cmd
	mu    sync.Mutex
	stops bool
}

func newBed() *bed {
	dir, err := os.MkdirTemp("", "standin-2-")
	check(err)
	return &bed{store: newStore(), dir: dir, procs: map[int]*exec.Cmd{}}
}

func (b *bed) start(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	b.mu.Lock()
	b.procs[cmd.Process.Pid] = cmd
	b.mu.Unlock()
}

func (b *bed) close() {
	for _, e := range b.engines {
		e.mu.Lock()
		e.stops = true
		e.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, cmd := range b.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	_ = os.RemoveAll(b.dir)
}

// givenPorts are the ports that freePort has returned.
var givenPorts = map[int]bool{}

// freePort returns a port below those that the system gives to outgoing connections, free for TCP and UDP, each once.
func freePort() int {
	for {
		port := 20000 + rand.IntN(12000)
		if givenPorts[port] {
			continue
		}
		givenPorts[port] = true
		at := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", at)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = p.Close()
		return port
	}
}

// edge is the program of the deploy file; the repository's root is the working directory.
const edge = "target/edge"

func (b *bed) addHost(name, zone string, change func(map[string]any)) *host {
	h := &host{name: name, door: b.store.addDoor()}
	h.caller = fmt.Sprintf("127.0.0.1:%d", freePort())
	h.ready = fmt.Sprintf("127.0.0.1:%d", freePort())
	settings := map[string]any{
		"host-id": name, "data-centre": zone, "caller-address": h.caller, "readiness-address": h.ready, "store-address": h.door.addr,
		"peer-port": freePort(), "metrics-port": freePort(), "memory-limit-mb": 284, "descriptor-limit": 4100, "config-apply-ms": 2000,
		"weights-apply-ms": 6000, "orders-pause-ms": 3000, "leave-notice-ms": 2000, "stop-grace-s": 8, "retry-share": 0.2,
		"retry-reserve": 54, "retry-window-s": 10, "region": "r",
	}
	if change != nil {
		change(settings)
	}
	var text bytes.Buffer
	for key, value := range settings {
		raw, _ := json.Marshal(value)
		fmt.Fprintf(&text, "%s = %s\n", key, raw)
	}
	text.WriteString("[regions]\n\"z-a\" = \"r\"\n\"z-b\" = \"r\"\n\"z-c\" = \"r\"\n")
	h.settings = filepath.Join(b.dir, name+".toml")
	check(os.WriteFile(h.settings, text.Bytes(), 0o600))
	b.hosts = append(b.hosts, h)
	b.startHost(h)
	return h
}

func (b *bed) startHost(h *host) {
	logFile, err := os.OpenFile(filepath.Join(b.logDir(), h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.cmd = exec.Command(edge)
	h.cmd.Env = append(os.Environ(), "MAGNOLIASPOKE_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	b.start(h.cmd)
	_ = logFile.Close()
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(h.cmd, h.ended)
}

func (b *bed) logDir() string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return dir
	}
	return b.dir
}

func (b *bed) addEngine(id, service, zone string, more ...string) *supervised {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	file, err := l.(*net.TCPListener).File()
	check(err)
	s := &supervised{bed: b, id: id, addr: l.Addr().String(), file: file}
	s.args = append([]string{"engine", "--id", id, "--service", service, "--zone", zone, "--store", b.store.addr}, more...)
	_ = l.Close()
	b.engines = append(b.engines, s)
	s.spawn()
	return s
}

// spawn starts the engine, and again whenever it ends.
func (s *supervised) spawn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stops {
		return
	}
	self, err := os.Executable()
	check(err)
	cmd := exec.Command(self, s.args...)
	cmd.ExtraFiles = []*os.File{s.file}
	out, err := cmd.StdoutPipe()
	check(err)
	cmd.Stderr = os.Stderr
	s.bed.start(cmd)
	s.cmd = cmd
	go func() {
		decode := json.NewDecoder(out)
		for {
			line := map[string]any{}
			if decode.Decode(&line) != nil {
				break
			}
			s.bed.record(line)
		}
		_ = cmd.Wait()
		s.bed.store.dropIf(s)
		s.spawn()
	}()
}

// kill ends the engine's process without notice.
func (s *supervised) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.cmd.Process.Kill()
}

func (b *bed) record(line map[string]any) {
	b.mu.Lock()
	b.lines = append(b.lines, line)
	b.mu.Unlock()
	raw, _ := json.Marshal(line)
	sayMu.Lock()
	defer sayMu.Unlock()
	_, _ = sayOut.Write(append(raw, '\n'))
}

func (b *bed) awaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, h := range b.hosts {
		for {
			resp, err := http.Get("http://" + h.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", h.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
