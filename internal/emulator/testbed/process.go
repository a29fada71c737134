// Package testbed runs processes of the program: single processes, the nodes of one deployment, or a fleet of
// members. The network between the members can be made to fail for each pair of members and each direction
// separately. Tests and experiments use it.
package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// ErrNotReloaded is returned by Process.Reload if the process did not log a reload in time.
var ErrNotReloaded = errors.New("node did not reload")

// Program is an executable with its environment.
type Program struct {
	Path      string
	Env       []string // added to this process's environment
	Announces bool     // the program prints one line on standard output once it is up
}

// Process is a process that was started. Its methods are safe for concurrent use.
type Process struct {
	Announcement string // the line that the program printed once it was up; empty unless Program.Announces
	command      *exec.Cmd
	logFile      *os.File      // the standard error of the process
	ended        chan struct{} // closed once the process has ended
	err          error         // exit error of the process; valid once ended is closed
}

// terminateTimeout is how long a process may take to shut down before it is killed.
const terminateTimeout = 10 * time.Second

// reloadPoll is the interval at which the log is searched for a reload.
const reloadPoll = 2 * time.Millisecond

// Start starts a process. If the program announces that it is up, Start waits for the announcement. The process
// logs to a file in dir.
func (p Program) Start(dir, name string, args ...string) (*Process, error) {
	process := &Process{command: exec.Command(p.Path, args...), ended: make(chan struct{})}
	process.command.Env = append(os.Environ(), p.Env...)
	var err error
	if process.logFile, err = os.CreateTemp(dir, name+"-*.log"); err != nil {
		return nil, fmt.Errorf("creating a process's log: %w", err)
	}
	process.command.Stderr = process.logFile
	var output io.Reader
	if p.Announces {
		if output, err = process.command.StdoutPipe(); err != nil {
			return nil, fmt.Errorf("opening a process's output: %w", err)
		}
	}
	if err := process.command.Start(); err != nil {
		process.logFile.Close()
		return nil, fmt.Errorf("starting a process: %w", err)
	}
	if p.Announces {
		if err := process.awaitAnnouncement(output); err != nil {
			return nil, err
		}
	}
	go process.awaitEnd()
	return process, nil
}

// awaitAnnouncement reads the line that a process prints once it is up. A process that prints none is killed.
func (p *Process) awaitAnnouncement(output io.Reader) error {
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		return fmt.Errorf("process did not announce that it is up: %w: %s", err, p.Logged())
	}
	p.Announcement = strings.TrimSpace(line)
	return nil
}

// awaitEnd waits until the process has ended, by itself or by a signal, and closes ended.
func (p *Process) awaitEnd() {
	p.err = p.command.Wait()
	p.logFile.Close()
	close(p.ended)
}

// Terminate shuts the process down with SIGTERM, and waits until it has ended. It returns an error if the process
// failed or had to be killed.
func (p *Process) Terminate() error {
	_ = p.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(terminateTimeout, func() { _ = p.command.Process.Kill() })
	defer kill.Stop()
	<-p.ended
	return p.err
}

// Kill ends the process with SIGKILL, and waits until it has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.command.Process.Signal(sig); err != nil {
		return fmt.Errorf("signalling a process: %w", err)
	}
	return nil
}

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Failure returns the exit error of the process, or nil if it exited successfully. It is valid once Ended is
// closed.
func (p *Process) Failure() error { return p.err }

// Reload sends SIGHUP to a node, and waits until the node has logged that it reloaded its configuration file.
func (p *Process) Reload() error {
	const logged = "reload"
	before := strings.Count(p.Logged(), logged)
	if err := p.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for end := time.Now().Add(terminateTimeout); time.Now().Before(end); time.Sleep(reloadPoll) {
		if strings.Count(p.Logged(), logged) > before {
			return nil
		}
	}
	return fmt.Errorf("%w within %v", ErrNotReloaded, terminateTimeout)
}

// Logged returns what the process has logged so far.
func (p *Process) Logged() string {
	text, err := os.ReadFile(p.logFile.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}
