// Package process runs programs as child processes that a bench starts, stops,
// kills and pauses by their ids.
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

// Process is one program that may run several times, one run after the other.
// Stop, Kill, Pause and Resume must not be called at the same time as Start.
type Process struct {
	binary    string
	arguments []string
	logs      io.Writer

	lock    sync.Mutex
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	failure error         // how it ended; read after done
}

// New returns a process that does not run yet. Both its outputs go to logs; nil
// drops them.
func New(binary string, arguments []string, logs io.Writer) *Process {
	done := make(chan struct{})
	close(done)
	return &Process{binary: binary, arguments: arguments, logs: logs, done: done}
}

// Start begins a run; there must be none.
func (p *Process) Start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if Running(p.done) {
		return eris.New("the process runs already")
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
		p.failure = command.Wait()
	}()
	return nil
}

// Running reports whether a run that closes done at its end goes on.
func Running(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// signal reaches the process by its id, and nothing once it has ended.
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

// Stop makes a planned stop and waits for its end.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return eris.Wrap(p.failure, "the planned stop ended badly")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "the planned stop goes on")
	}
}

// Kill ends the run at once and waits; without a run it does nothing.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Ended()
	return nil
}

// Pause stops the process without its knowing and returns once it has stopped.
func (p *Process) Pause() error {
	if !Running(p.Ended()) {
		return eris.New("the process doesn't run")
	}
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return awaitStopped(p.command.Process.Pid)
}

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Ended is closed when the run is over.
func (p *Process) Ended() <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.done
}
