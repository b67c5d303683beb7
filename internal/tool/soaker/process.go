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

// process is an instance under test: the real program, started anew each time that it
// is told to end.
type process struct {
	name    string
	program string
	file    string
	logs    string
	// locator is where it tells callers which addresses to use, ready where it says that
	// it is ready, and peer its address for the other instances.
	locator string
	ready   string
	peer    string

	starting sync.Mutex // held by start

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// told is set once the process was told to end.
	told bool
	// onOwnEnd is told of an end that was not asked for.
	onOwnEnd func(name string, err error)
}

// start begins a new process, unless one runs, whose log is appended to that of those
// before.
func (p *process) start() error {
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.isRunning() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // the process has its own
	command := exec.Command(p.program, "gateway", p.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended, p.told = command, ended, false
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		p.mu.Lock()
		told := p.told
		p.mu.Unlock()
		close(ended)
		if !told {
			p.onOwnEnd(p.name, err)
		}
	}()
	return nil
}

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process by its ID. One that has ended gets none.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.told = true
	}
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(s) // it may end just now
	}
}

// end sends a signal that ends the process, and kills it if it has not ended by then.
func (p *process) end(s syscall.Signal, within time.Duration) {
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(within):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}
