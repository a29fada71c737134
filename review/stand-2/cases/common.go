// Command cases runs the cases 6 to 10 of the second review. It starts the project's own program as separate
// processes with the run command of the deploy file, and is itself the clients and servers around them.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	caseDeadline = 115 * time.Second
)

// returnAfter is how long a killed node is away: BRIEF says 2.2 to 7.2 s.
const returnAfter = 3 * time.Second

// env is what one run of a case has: its record, its temporary folder and the processes that it started.
type env struct {
	trouble bool
	root    string // the repository
	temp    string
	begin   time.Time

	starts chan func() // run by starter

	mu     sync.Mutex
	record *os.File
	nodes  []*process
}

// process is one process of the program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(exitNotRun)
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", root: filepath.Dir(filepath.Dir(folder)), begin: time.Now()}
	if e.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if e.temp, err = os.MkdirTemp("", "case"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	e.starts = make(chan func())
	go e.starter()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := e.guard(run, stop)
	e.stopAll()
	_ = os.RemoveAll(e.temp)
	e.note("exit %d", code)
	os.Exit(code)
}

// notRun is the panic value of a case that could not run.
type notRun struct{ why string }

// starter starts all processes from one thread, which lasts as long as this program: when the program ends in
// whatever way, the kernel ends them.
func (e *env) starter() {
	runtime.LockOSThread()
	for start := range e.starts {
		start()
	}
}

// guard runs a case, and ends it when it takes too long, cannot run or is told to stop.
func (e *env) guard(run func(*env) int, stop <-chan os.Signal) int {
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				if n, ok := p.(notRun); ok {
					e.note("could not run: %s", n.why)
				} else {
					e.note("could not run: %v", p)
				}
				result <- exitNotRun
			}
		}()
		result <- run(e)
	}()
	select {
	case code := <-result:
		return code
	case s := <-stop:
		e.note("could not run: got %v", s)
		return exitNotRun
	case <-time.After(caseDeadline):
		e.note("could not run: the case took longer than %v", caseDeadline)
		return exitNotRun
	}
}

func fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// note writes a line to the record, with the seconds since the start.
func (e *env) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(e.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = e.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// runCommand returns the run command of the deploy file.
func (e *env) runCommand() string {
	text, err := os.ReadFile(filepath.Join(e.root, "deploy", "balancer.toml"))
	if err != nil {
		fail("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(rest, `"`)
		}
	}
	fail("the deploy file has no run command")
	return ""
}

// file writes a file in the temporary folder and returns its path.
func (e *env) file(name, text string) string {
	path := filepath.Join(e.temp, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	return path
}

// start starts the program with arguments, from the repository's root, as the deploy file says.
func (e *env) start(logName, args string) *process { return e.startWith(logName, args) }

// startWith is start with further variables in the environment.
func (e *env) startWith(logName, args string, variables ...string) *process {
	log, err := os.Create(filepath.Join(e.temp, logName))
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", e.runCommand()+" "+args)
	cmd.Dir, cmd.Stdout, cmd.Stderr = e.root, log, log
	cmd.Env = append(append(os.Environ(), "TMPDIR="+e.temp), variables...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	e.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		fail("%v", err)
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(p.done)
	}()
	e.mu.Lock()
	e.nodes = append(e.nodes, p)
	e.mu.Unlock()
	e.note("started %s %s", logName, strings.ReplaceAll(args, e.temp, "TEMP"))
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// ended reports whether the process ends within d.
func (p *process) ended(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// command runs a command of the program to its end and returns its output and exit code.
func (e *env) command(args string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", e.runCommand()+" "+args)
	var out bytes.Buffer
	cmd.Dir, cmd.Stdout, cmd.Stderr = e.root, &out, &out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	e.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		fail("%v", err)
	}
	code := 0
	if cmd.Wait() != nil {
		code = cmd.ProcessState.ExitCode()
	}
	return strings.ReplaceAll(out.String(), e.temp, "TEMP"), code
}

// stopAll ends all processes that the case started.
func (e *env) stopAll() {
	e.mu.Lock()
	nodes := e.nodes
	e.mu.Unlock()
	for _, p := range nodes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range nodes {
		p.ended(5 * time.Second)
	}
}

// log returns the log of a process.
func (e *env) log(name string) string {
	text, _ := os.ReadFile(filepath.Join(e.temp, name))
	return string(text)
}

// freePort returns an address of the loopback interface that nobody uses.
func freePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// awaitUp waits until a node answers its readiness probe.
func (e *env) awaitUp(addr string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + addr + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	fail("the node at %s is not ready", addr)
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	replayed := ""
	if a.header.Get("Idempotent-Replayed") != "" {
		replayed = ", replayed"
	}
	return fmt.Sprintf("status %d%s, body %.60q", a.status, replayed, a.body)
}

// ask sends one request on a new connection and waits for its answer.
func ask(addr, method, path, body string, header map[string]string, wait time.Duration) (a answer) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return askOn(conn, method, path, body, header, wait)
}

// askOn sends one request on a connection and waits for its answer.
func askOn(conn net.Conn, method, path, body string, header map[string]string, wait time.Duration) (a answer) {
	_ = conn.SetDeadline(time.Now().Add(wait))
	req, err := http.NewRequest(method, "http://service.internal"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	for name, value := range header {
		if name == "Host" {
			req.Host = value
			continue
		}
		req.Header.Set(name, value)
	}
	if err := req.Write(conn); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(text), err}
}

var cases = map[string]func(*env) int{}
