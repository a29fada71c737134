// Package testbed runs many processes of the program: single ones, the nodes of one deployment, or a fleet
// of members with a network between them that can be made to fail, one direction between two members at a
// time. Tests and experiments use it.
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

// ErrNotReloaded says that a process did not log a reload in time.
var ErrNotReloaded = errors.New("node did not reload")

// Program is what a process runs.
type Program struct {
	Path      string
	Env       []string // on top of this process's own
	Announces bool     // it announces on standard output, by one line, that it is up
}

// Process is a process that was started. Its methods may be called by several goroutines.
type Process struct {
	Announcement string // what it announced; empty unless Program.Says
	command      *exec.Cmd
	logFile      *os.File      // its standard error
	ended        chan struct{} // closed once it has ended
	err          error         // how it ended; valid once ended is closed
}

// terminateTimeout is how long a process may take to shut down before it is killed.
const terminateTimeout = 10 * time.Second

// reloadPoll is how often the log is searched for a reload.
const reloadPoll = 2 * time.Millisecond

// Start starts a process, and waits until it is up where the program announces that. Its log goes to a
// file in dir.
func (p Program) Start(dir, name string, args ...string) (*Process, error) {
	s := &Process{command: exec.Command(p.Path, args...), ended: make(chan struct{})}
	s.command.Env = append(os.Environ(), p.Env...)
	var err error
	if s.logFile, err = os.CreateTemp(dir, name+"-*.log"); err != nil {
		return nil, fmt.Errorf("creating a process's log: %w", err)
	}
	s.command.Stderr = s.logFile
	var output io.Reader
	if p.Announces {
		if output, err = s.command.StdoutPipe(); err != nil {
			return nil, fmt.Errorf("opening a process's output: %w", err)
		}
	}
	if err := s.command.Start(); err != nil {
		s.logFile.Close()
		return nil, fmt.Errorf("starting a process: %w", err)
	}
	if p.Announces {
		if err := s.awaitAnnouncement(output); err != nil {
			return nil, err
		}
	}
	go s.awaitEnd()
	return s, nil
}

// awaitAnnouncement reads the line by which a process says that it is up. One that does not is killed.
func (s *Process) awaitAnnouncement(output io.Reader) error {
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		_ = s.command.Process.Kill()
		_ = s.command.Wait()
		return fmt.Errorf("process did not come up: %w: %s", err, s.Logged())
	}
	s.Announcement = strings.TrimSpace(line)
	return nil
}

// awaitEnd runs until the process ends, by itself or by a signal, and says so on ended.
func (s *Process) awaitEnd() {
	s.err = s.command.Wait()
	s.logFile.Close()
	close(s.ended)
}

// Terminate shuts the process down with SIGTERM, and waits for its end. It returns an error if the process
// failed or had to be killed.
func (s *Process) Terminate() error {
	_ = s.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(terminateTimeout, func() { _ = s.command.Process.Kill() })
	defer kill.Stop()
	<-s.ended
	return s.err
}

// Kill ends the process with SIGKILL, and waits for its end.
func (s *Process) Kill() {
	_ = s.command.Process.Kill()
	<-s.ended
}

// Signal sends a signal to the process.
func (s *Process) Signal(sig syscall.Signal) error {
	if err := s.command.Process.Signal(sig); err != nil {
		return fmt.Errorf("signalling a process: %w", err)
	}
	return nil
}

// Ended is closed once the process has ended.
func (s *Process) Ended() <-chan struct{} { return s.ended }

// Failure is how the process ended, or nil if it ended well. It is valid once Ended is closed.
func (s *Process) Failure() error { return s.err }

// Reload has a node read its configuration file again, and waits until it has logged that.
func (s *Process) Reload() error {
	const logged = "reload"
	before := strings.Count(s.Logged(), logged)
	if err := s.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for end := time.Now().Add(terminateTimeout); time.Now().Before(end); time.Sleep(reloadPoll) {
		if strings.Count(s.Logged(), logged) > before {
			return nil
		}
	}
	return fmt.Errorf("%w within %v", ErrNotReloaded, terminateTimeout)
}

// Logged is what the process has logged so far.
func (s *Process) Logged() string {
	text, err := os.ReadFile(s.logFile.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}
