package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is an instance under test: the real program, which can be started again after
// it was stopped.
type process struct {
	name         string
	program      string
	settingsFile string
	logDirectory string
	// callerAddress serves requests, locatorAddress serves callers the addresses to use,
	// readinessAddress serves the readiness probe, and peerAddress the other instances.
	callerAddress    string
	locatorAddress   string
	readinessAddress string
	peerAddress      string

	startMu sync.Mutex // held by start

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// isPaused is set from SIGSTOP to the next SIGCONT or start.
	isPaused bool
	// stopRequested is set once the process was sent a signal that ends it.
	stopRequested bool
	// onUnexpectedExit is called when the process exits without such a signal.
	onUnexpectedExit func(name string, err error)
}

// start starts the process unless it is running. Its log is appended to the log of the
// earlier processes of this instance.
func (p *process) start() error {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	if p.isRunning() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.logDirectory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // the child process has its own descriptor
	command := exec.Command(p.program, "gateway", p.settingsFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited, p.stopRequested, p.isPaused = command, exited, false, false
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		p.mu.Lock()
		stopRequested := p.stopRequested
		p.mu.Unlock()
		close(exited)
		if !stopRequested {
			p.onUnexpectedExit(p.name, err)
		}
	}()
	return nil
}

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// isActive reports whether the process is running and not paused.
func (p *process) isActive() bool {
	p.mu.Lock()
	isPaused := p.isPaused
	p.mu.Unlock()
	return !isPaused && p.isRunning()
}

// signal sends a signal to the process. It does nothing if the process has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		p.stopRequested = true
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.isPaused = s == syscall.SIGSTOP
	default:
	}
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s) // the process may exit at this moment
	}
}

// stop sends a signal that ends the process, kills it if it has not exited in time, and
// returns once it has exited.
func (p *process) stop(s syscall.Signal, within time.Duration) {
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(within):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// maxLastLines is the number of bytes of a log that lastLines returns at most.
const maxLastLines = 4000

// lastLines returns the end of the log of the instance.
func (p *process) lastLines() string {
	text, err := os.ReadFile(filepath.Join(p.logDirectory, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLastLines):])
}
