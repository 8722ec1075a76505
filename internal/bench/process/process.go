// Package process runs programs as child processes, which the benchmarks start,
// stop, kill and pause.
package process

import (
	"context"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Process is a program that may be run several times, one run after the other.
// Stop, Kill, Pause and Resume must not be called concurrently with Start.
type Process struct {
	binary    string
	arguments []string
	logs      io.Writer

	lock    sync.Mutex
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	exitErr error         // result of Wait; read only after done is closed
}

// New returns a process that is not started yet. Its standard output and standard
// error go to logs; nil discards them.
func New(binary string, arguments []string, logs io.Writer) *Process {
	done := make(chan struct{})
	close(done)
	return &Process{binary: binary, arguments: arguments, logs: logs, done: done}
}

// Start starts the program, which must not be running.
func (p *Process) Start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if Running(p.done) {
		return eris.New("the process is already running")
	}
	command := exec.Command(p.binary, p.arguments...)
	command.Stdout, command.Stderr = p.logs, p.logs
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start the process")
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		defer close(done)
		p.exitErr = command.Wait()
	}()
	return nil
}

// Running reports whether the run that closes done at its end is still in progress.
func Running(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, and does nothing if it has ended or was
// never started.
func (p *Process) signal(signal os.Signal) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return nil
	}
	err := p.command.Process.Signal(signal)
	if eris.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Stop shuts the process down gracefully (SIGTERM) and waits until it has ended.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return eris.Wrap(p.exitErr, "the process failed during the planned stop")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "the planned stop did not finish in time")
	}
}

// Kill kills the process (SIGKILL) and waits until it has ended. It does nothing if
// the process isn't running.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Ended()
	return nil
}

// Pause suspends the process (SIGSTOP) and returns once it has stopped.
func (p *Process) Pause() error {
	if !Running(p.Ended()) {
		return eris.New("the process is not running")
	}
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return awaitStopped(p.command.Process.Pid)
}

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Ended returns a channel that is closed when the current run has ended.
func (p *Process) Ended() <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.done
}
