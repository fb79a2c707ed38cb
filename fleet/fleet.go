package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultLifetime is the lifetime of a process whose command sets none.
	DefaultLifetime = 10 * time.Minute
	// readyTimeout bounds the time from the start of a process to its ready line.
	readyTimeout = 30 * time.Second
)

var (
	// ErrUnknownProcess is returned for a name under which no process was started.
	ErrUnknownProcess = eris.New("unknown process")
	// ErrRunning is returned for a start under a name whose process still runs.
	ErrRunning = eris.New("process already runs")
	// ErrClosed is returned for a start after Close.
	ErrClosed = eris.New("fleet is closed")
)

type (
	// Command describes how to start a process.
	Command struct {
		// Name identifies the process in the fleet and names its log file.
		Name      string
		Program   string
		Arguments []string
		// Environment is appended to the environment of the parent process.
		Environment []string
		// Lifetime is the time after which the process is killed. A value that is not
		// positive means DefaultLifetime.
		Lifetime time.Duration
	}

	// Fleet starts processes. It kills each one at the end of its lifetime, and all of them
	// when it is closed or the process that contains it dies.
	Fleet struct {
		// directory is where the logs are written.
		directory string
		launches  chan launch

		mu        sync.Mutex
		closed    bool
		processes map[string]*Process
	}

	// launch is a request to start a command in the thread of launchAll.
	launch struct {
		command *exec.Cmd
		result  chan error
	}
)

// New returns a fleet that writes the logs of its processes to a directory.
func New(directory string) *Fleet {
	f := &Fleet{
		directory: directory,
		launches:  make(chan launch),
		processes: make(map[string]*Process),
	}
	go f.launchAll()
	return f
}

// Start starts a process and returns once it has written its ready line. It kills a process
// that does not become ready.
func (f *Fleet) Start(ctx context.Context, command Command) (*Process, error) {
	process := newProcess(command, filepath.Join(f.directory, command.Name+".log"))
	if err := f.startProcess(process); err != nil {
		return nil, err
	}
	if err := process.waitReady(ctx); err != nil {
		process.Kill()
		return nil, eris.Wrapf(err, "process %q; its log ends with:\n%s", command.Name, process.LogTail())
	}
	return process, nil
}

// Restart starts the latest command of a name again; its process must have ended.
func (f *Fleet) Restart(ctx context.Context, name string) (*Process, error) {
	process, err := f.Process(name)
	if err != nil {
		return nil, err
	}
	return f.Start(ctx, process.command)
}

// Process returns the latest process of a name, which may have ended.
func (f *Fleet) Process(name string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	process, ok := f.processes[name]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownProcess, "process %q", name)
	}
	return process, nil
}

// Close kills all processes and returns once they have ended. Starts fail after Close.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	for _, process := range f.processes {
		process.signalKill()
	}
	for _, process := range f.processes {
		<-process.exited
	}
	close(f.launches)
}

// startProcess starts a process and stores it as the latest one of its name.
func (f *Fleet) startProcess(process *Process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := process.command.Name
	if f.closed {
		return eris.Wrapf(ErrClosed, "start process %q", name)
	}
	if previous, ok := f.processes[name]; ok && previous.Running() {
		return eris.Wrapf(ErrRunning, "start process %q", name)
	}
	if err := process.start(f.launch); err != nil {
		return eris.Wrapf(err, "start process %q", name)
	}
	f.processes[name] = process
	return nil
}

func (f *Fleet) launch(command *exec.Cmd) error {
	result := make(chan error, 1)
	f.launches <- launch{command, result}
	return <-result
}

// launchAll starts all processes from one thread that exists until the fleet is closed. The
// kernel sends the parent-death signal (Pdeathsig) when the thread that started the child
// exits, which may be before the parent process exits.
func (f *Fleet) launchAll() {
	runtime.LockOSThread()
	for next := range f.launches {
		next.result <- next.command.Start()
	}
}
