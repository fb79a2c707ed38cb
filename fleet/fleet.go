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
	// DefaultLifetime bounds a process for which the command names no lifetime.
	DefaultLifetime = 10 * time.Minute
	// readyLimit bounds the time from start to ready line.
	readyLimit = 30 * time.Second
)

var (
	// ErrUnknownProcess marks a name under which no process was started.
	ErrUnknownProcess = eris.New("unknown process")
	// ErrRunning marks a start under a name whose process still runs.
	ErrRunning = eris.New("process already runs")
	// ErrClosed marks a start after Close.
	ErrClosed = eris.New("fleet is closed")
)

type (
	// Command says how to start a process.
	Command struct {
		// Name identifies the process in the fleet and names its log file.
		Name      string
		Program   string
		Arguments []string
		// Environment is added to the parent's environment.
		Environment []string
		// Lifetime is the time after which the process is killed; zero means DefaultLifetime.
		Lifetime time.Duration
	}

	// Fleet starts processes and makes sure that none outlives it.
	Fleet struct {
		directory string
		launches  chan launch

		mu        sync.Mutex
		closed    bool
		processes map[string]*Process
	}

	launch struct {
		command *exec.Cmd
		result  chan error
	}
)

// New returns a fleet that keeps the logs of its processes in a directory.
func New(directory string) *Fleet {
	f := &Fleet{
		directory: directory,
		launches:  make(chan launch),
		processes: make(map[string]*Process),
	}
	go f.launchAll()
	return f
}

// Start starts a process and returns when it has said that it is ready.
func (f *Fleet) Start(ctx context.Context, command Command) (*Process, error) {
	process := newProcess(command, filepath.Join(f.directory, command.Name+".log"))
	if err := f.adopt(process); err != nil {
		return nil, err
	}
	if err := process.waitReady(ctx); err != nil {
		process.Kill()
		return nil, eris.Wrapf(err, "process %q; its log ends with:\n%s", command.Name, process.LogTail())
	}
	return process, nil
}

// Restart starts the command of an ended process again.
func (f *Fleet) Restart(ctx context.Context, name string) (*Process, error) {
	process, err := f.Process(name)
	if err != nil {
		return nil, err
	}
	return f.Start(ctx, process.command)
}

// Process returns the latest process of the name, which may have ended.
func (f *Fleet) Process(name string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	process, ok := f.processes[name]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownProcess, "process %q", name)
	}
	return process, nil
}

// Close kills all processes and returns when they have ended.
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

func (f *Fleet) adopt(process *Process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := process.command.Name
	if f.closed {
		return eris.Wrapf(ErrClosed, "start process %q", name)
	}
	if former, ok := f.processes[name]; ok && former.Running() {
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

// launchAll starts all processes from one thread that lives as long as the fleet: the
// signal that the system sends on a parent's death is bound to the starting thread.
func (f *Fleet) launchAll() {
	runtime.LockOSThread()
	for next := range f.launches {
		next.result <- next.command.Start()
	}
}
