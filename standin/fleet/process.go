// Package fleet starts the processes of a mesh on loopback addresses: the stand-in log, nodes and targets.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 20 * time.Second

// Process is a program that the caller started.
type Process struct {
	name string
	path string
	args []string
	log  *os.File
	cmd  *exec.Cmd
	done chan error
}

// StartProcess starts a program whose output goes to a file in dir.
func StartProcess(dir, name, path string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, path: path, args: args, log: log}
	return p, p.Start()
}

// Start starts the program, also again after its end.
func (p *Process) Start() error {
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan<- error) { done <- cmd.Wait() }(p.cmd, p.done)
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop ends the process with SIGTERM. It returns an error if the process failed or had to be killed.
func (p *Process) Stop() error {
	defer p.log.Close()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("%s ended before: %w", p.name, err)
	}
	select {
	case err := <-p.done:
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		return nil
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %v", p.name, stopTimeout)
	}
}

// Freeze stops the process without ending it, as a VM that is paused; Thaw lets it go on.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Ended reports whether the process has ended by itself.
func (p *Process) Ended() bool {
	select {
	case err := <-p.done:
		p.done <- err
		return true
	default:
		return false
	}
}
