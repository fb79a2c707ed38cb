package fleet

import (
	"context"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ready"
)

const (
	// logTailBytes is the size of the end of a log that error messages contain.
	logTailBytes = 4 << 10
	// signalTimeout bounds the wait for a stop or continue signal to take effect.
	signalTimeout = 5 * time.Second
	// signalPollInterval is the interval at which that wait reads the process state.
	signalPollInterval = time.Millisecond
)

type (
	// Process is a started program. Its methods are safe for concurrent use.
	Process struct {
		command Command
		logPath string
		exec    *exec.Cmd
		expiry  *time.Timer

		line        ready.Line
		readyResult chan error
		// exited is closed after the process has ended and state is set.
		exited chan struct{}
		state  *os.ProcessState
	}
)

func newProcess(command Command, logPath string) *Process {
	if command.Lifetime <= 0 {
		command.Lifetime = DefaultLifetime
	}
	return &Process{
		command:     command,
		logPath:     logPath,
		readyResult: make(chan error, 1),
		exited:      make(chan struct{}),
	}
}

func (p *Process) start(launch func(*exec.Cmd) error) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	p.exec = exec.Command(p.command.Program, p.command.Arguments...)
	p.exec.Env = append(os.Environ(), p.command.Environment...)
	p.exec.Stderr = log
	p.exec.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	output, err := p.exec.StdoutPipe()
	if err != nil {
		log.Close()
		return eris.Wrap(err, "open output")
	}
	if err := launch(p.exec); err != nil {
		log.Close()
		return eris.Wrapf(err, "program %q", p.command.Program)
	}
	p.expiry = time.AfterFunc(p.command.Lifetime, p.signalKill)
	go p.monitor(output, log)
	return nil
}

// monitor copies the output to the log until it ends, passes on the ready line and then
// collects the exit state.
func (p *Process) monitor(output io.Reader, log *os.File) {
	line, err := ready.Read(io.TeeReader(output, log))
	p.line = line
	p.readyResult <- err
	_, _ = io.Copy(log, output)
	_ = p.exec.Wait()
	p.expiry.Stop()
	log.Close()
	p.state = p.exec.ProcessState
	close(p.exited)
}

func (p *Process) waitReady(ctx context.Context) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	select {
	case err := <-p.readyResult:
		return err
	case <-timeout.C:
		return eris.Errorf("not ready after %v", readyTimeout)
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "wait for ready line")
	}
}

// Name returns the name in the fleet.
func (p *Process) Name() string { return p.command.Name }

// ID returns the process id of the operating system.
func (p *Process) ID() int { return p.exec.Process.Pid }

// Address returns the address of a listener from the ready line, empty if the line has none.
func (p *Process) Address(listener ready.Listener) spoke.Address {
	return p.line.Addresses[listener]
}

// Exited returns a channel that is closed after the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not ended. A frozen process counts as running.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode waits until the process ends and returns its exit code, -1 if a signal ended it.
func (p *Process) ExitCode(ctx context.Context) (int, error) {
	select {
	case <-p.exited:
		return p.state.ExitCode(), nil
	case <-ctx.Done():
		return 0, eris.Wrapf(context.Cause(ctx), "wait for end of process %q", p.command.Name)
	}
}

// Kill kills the process with SIGKILL, also if it is frozen, and waits until it has ended.
func (p *Process) Kill() {
	p.signalKill()
	<-p.exited
}

// Stop sends SIGTERM for a graceful stop, waits for the end and returns the exit code.
func (p *Process) Stop(ctx context.Context) (int, error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.ExitCode(ctx)
}

// Freeze suspends the process with SIGSTOP and returns once it is stopped.
func (p *Process) Freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.waitFrozen(true)
}

// Thaw resumes a frozen process with SIGCONT and returns once it is no longer stopped.
func (p *Process) Thaw() error {
	if err := p.signal(syscall.SIGCONT); err != nil {
		return err
	}
	return p.waitFrozen(false)
}

// Log returns the standard output and standard error of all processes of this name.
func (p *Process) Log() (string, error) {
	text, err := os.ReadFile(p.logPath)
	return string(text), eris.Wrapf(err, "log of process %q", p.command.Name)
}

// LogTail returns the last logTailBytes of the log for error messages. If the log cannot be
// read, it returns the text of that error.
func (p *Process) LogTail() string {
	text, err := p.Log()
	if err != nil {
		return err.Error()
	}
	return text[max(0, len(text)-logTailBytes):]
}

func (p *Process) signalKill() { _ = p.exec.Process.Kill() }

func (p *Process) signal(signal os.Signal) error {
	return eris.Wrapf(p.exec.Process.Signal(signal), "send %v to process %q", signal, p.command.Name)
}
