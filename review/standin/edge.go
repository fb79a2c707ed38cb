package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// settings are the settings of a host that differ between cases; the others are those of the small deployment.
	settings struct {
		memoryMB int
	}

	// host is a process of the deploy file, target/edge.
	host struct {
		name, zone     string
		caller, ready  string
		folder         string
		path           *path
		memoryMB       int
		log            *record
		mu             sync.Mutex
		command        *exec.Cmd
		ended          chan struct{}
		isKilledForMem bool
	}
)

// freePort returns a port of loopback that is free for TCP and UDP, below those that the system gives out itself.
func freePort() int {
	for range 200 {
		port := 10000 + rand.IntN(20000)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

// newHost writes the settings of a host as deploy/settings.toml.tmpl has them.
func newHost(log *record, st *store, name, zone string, s settings) *host {
	folder, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		cannotRun("%v", err)
	}
	temporary = append(temporary, folder)
	if s.memoryMB == 0 {
		s.memoryMB = 284
	}
	h := &host{
		path: st.newPath(), name: name, zone: zone, folder: folder, log: log, memoryMB: s.memoryMB,
		caller: fmt.Sprintf("127.0.0.1:%d", freePort()), ready: fmt.Sprintf("127.0.0.1:%d", freePort()),
	}
	text := fmt.Sprintf(`host-id = %q
data-centre = %q
caller-address = %q
readiness-address = %q
store-address = %q
peer-port = %d
metrics-port = %d
memory-limit-mb = %d
descriptor-limit = 4100
config-apply-ms = 2000
weights-apply-ms = 8000
orders-pause-ms = 3000
leave-notice-ms = 2000
stop-grace-s = 8
retry-share = 0.2
retry-reserve = 58
retry-window-s = 10
`, name, zone, h.caller, h.ready, h.path.address, freePort(), freePort(), s.memoryMB)
	if err := os.WriteFile(filepath.Join(folder, "local.toml"), []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
	return h
}

// start starts the process and waits until it is ready.
func (h *host) start() {
	out, err := os.Create(filepath.Join(h.folder, "log.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	program := os.Getenv("REVIEW_EDGE")
	if program == "" {
		program = "target/edge"
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), "MAGNOLIASPOKE_SETTINGS="+filepath.Join(h.folder, "local.toml"))
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("start %s: %v", program, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended = command, ended
	h.mu.Unlock()
	h.log.add("host %s started", h.name)
	go func() {
		err := command.Wait()
		h.log.add("process of %s ended: %v", h.name, err)
		close(ended)
	}()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if h.isReady() {
			return
		}
	}
	cannotRun("host %s is not ready after 10 s", h.name)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		h.log.add("%v to %s", s, h.name)
		_ = h.command.Process.Signal(s)
	}
}

// isRunning reports whether the process has not ended.
func (h *host) isRunning() bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// residentMB returns the memory of the process that is resident, in megabytes.
func (h *host) residentMB() int {
	h.mu.Lock()
	pid := h.command.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// kill ends the process if it runs.
func (h *host) kill() {
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}
