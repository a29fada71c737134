// Package lib has what the drivers of the cases share: stand-ins for servers, discovery and the network, a client,
// and processes of the program.
package lib

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { runtime.LockOSThread() } // children end with the thread that started them

// Case is one run of a case.
type Case struct {
	Root    string // the project's checkout
	Temp    string // a private folder
	Trouble bool   // whether the disruption happens

	mu     sync.Mutex
	record *os.File
	start  time.Time
	nodes  []*Node
}

// New opens the record of a run. Its arguments are the checkout, the folder of the case and the private folder.
func New() *Case {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: caseN ROOT FOLDER TEMP")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := &Case{Root: os.Args[1], Temp: os.Args[3], Trouble: os.Getenv("TROUBLE") != "0", record: f, start: time.Now()}
	c.Log("trouble: %v", c.Trouble)
	time.AfterFunc(110*time.Second, func() { c.Broken("the case took too long") })
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3fs  ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(c.record, line)
}

func (c *Case) exit(code int, verdict string) {
	c.Log("verdict: %s (exit %d)", verdict, code)
	fmt.Println(verdict)
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	os.Exit(code)
}

// Held ends the run: the rule held.
func (c *Case) Held(verdict string) { c.exit(0, "the rule held: "+verdict) }

// Violated ends the run: the rule was broken.
func (c *Case) Violated(verdict string) { c.exit(1, "the rule was broken: "+verdict) }

// Broken ends the run: the case could not run.
func (c *Case) Broken(why string) { c.exit(2, "the case could not run: "+why) }

// Must ends the run if err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		c.Broken(err.Error())
	}
}

// FreeAddr returns a loopback address that nothing listens on.
func (c *Case) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// WriteFile replaces a file of the private folder as an operator would: by a rename.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Temp, name)
	c.Must(os.WriteFile(path+".new", []byte(text), 0o600))
	c.Must(os.Rename(path+".new", path))
	return path
}

// Node is a process of the program.
type Node struct {
	c     *Case
	name  string
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
}

// StartNode starts a process by the deploy file's command with further arguments and environment.
func (c *Case) StartNode(name, args string, env ...string) *Node {
	n := &Node{c: c, name: name, log: filepath.Join(c.Temp, name+".log"), ended: make(chan struct{})}
	f, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/jasperpin "+args)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = c.Root, f, f
	n.cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + c.Temp}, env...)...)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must(n.cmd.Start())
	f.Close()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	go func() { _ = n.cmd.Wait(); close(n.ended) }()
	c.Log("node %s: started", name)
	return n
}

// Signal sends a signal.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Log("node %s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// Ended waits for the end of the process.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// LogText returns what the process has logged.
func (n *Node) LogText() string {
	text, _ := os.ReadFile(n.log)
	return string(text)
}

// AwaitLog waits until the log has count lines with a text.
func (n *Node) AwaitLog(text string, count int, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.Count(n.LogText(), text) >= count {
			n.c.Log("node %s: logged %q", n.name, text)
			return
		}
	}
	n.c.Log("node's log:\n%s", n.LogText())
	n.c.Broken("the node did not log " + text)
}

// AwaitUp waits until /up answers 200.
func (c *Case) AwaitUp(addr string, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/up")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			c.Log("node at its address answers /up with 200")
			return
		}
	}
	for _, n := range c.nodes {
		c.Log("log of %s:\n%s", n.name, n.LogText())
	}
	c.Broken("the node was not up in time")
}

// Request is a client's request.
type Request struct {
	Method, Path, Body string
	Header             map[string]string
}

// Answer is what a client got. Status is 0 if there was no whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
}

// Do sends a request on a connection of its own and waits for the answer.
func (c *Case) Do(who, addr string, q Request, wait time.Duration) (a Answer) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(wait))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: service.internal\r\n", q.Method, q.Path)
	for name, value := range q.Header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if q.Method != "GET" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.Body))
	}
	text.WriteString("\r\n" + q.Body)
	c.Log("%s: sends %s %s %v", who, q.Method, q.Path, q.Header)
	if _, a.Err = conn.Write(text.Bytes()); a.Err == nil {
		var resp *http.Response
		if resp, a.Err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.Method}); a.Err == nil {
			var body []byte
			body, a.Err = io.ReadAll(resp.Body)
			a.Status, a.Header, a.Body = resp.StatusCode, resp.Header, string(body)
		}
	}
	a.Took = time.Since(began)
	if a.Err != nil {
		a.Status = 0
	}
	c.Log("%s: got %d after %.3fs, body %q, Retry-After %q, Idempotent-Replayed %q, error %v",
		who, a.Status, a.Took.Seconds(), a.Body, a.Header.Get("Retry-After"), a.Header.Get("Idempotent-Replayed"), a.Err)
	return a
}

// Run is one time that a server ran a request.
type Run struct {
	Server, ID, Key, Path string
	At                    time.Time
}

// Boxes are the servers of a deployment. They share what they remember of idempotency keys.
type Boxes struct {
	c        *Case
	Remember time.Duration // 0 if no repeats are dropped
	// Work returns how long a request takes; it may block for longer. It returns false for a request that is
	// turned away.
	Work func(server string, r *http.Request) bool
	// Begun is called once the last byte of a request has come; may be nil.
	Begun func(server string, r *http.Request)

	mu     sync.Mutex
	runs   []Run
	memory map[string]time.Time
}

// NewBoxes returns servers that take d for each request.
func (c *Case) NewBoxes(d time.Duration) *Boxes {
	return &Boxes{c: c, memory: make(map[string]time.Time), Work: func(string, *http.Request) bool { time.Sleep(d); return true }}
}

// Add starts a server and returns its address and the function that ends it.
func (b *Boxes) Add(name string) (addr string, kill func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(name, w, r) })}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), func() { b.c.Log("server %s: ends, its connections are reset", name); _ = server.Close() }
}

func (b *Boxes) serve(name string, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	now := time.Now()
	since, known := b.memory[key]
	repeat := b.Remember > 0 && key != "" && known && now.Sub(since) < b.Remember
	if !repeat {
		b.memory[key] = now
	}
	b.mu.Unlock()
	if b.Begun != nil {
		b.Begun(name, r)
	}
	if repeat {
		b.c.Log("server %s: drops a repeat of key %s", name, key)
	} else {
		if !b.Work(name, r) {
			b.c.Log("server %s: turns away %s %s id %q", name, r.Method, r.URL.Path, id)
			w.Header().Set("Srv-Declined", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b.mu.Lock()
		b.runs = append(b.runs, Run{name, id, key, r.URL.Path, time.Now()})
		b.mu.Unlock()
		b.c.Log("server %s: has run %s %s id %q key %q", name, r.Method, r.URL.Path, id, key)
	}
	_, _ = io.WriteString(w, "made by "+name+" for "+id+key)
}

// Runs returns the runs that match.
func (b *Boxes) Runs(match func(Run) bool) (found []Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if match(r) {
			found = append(found, r)
		}
	}
	return found
}

// Proxy is the network between the node and one server.
type Proxy struct {
	c    *Case
	name string
	to   string
	mu   sync.Mutex
	cut  chan struct{} // closed while the network works
	open map[net.Conn]bool
	held map[net.Conn]bool
}

// NewProxy starts a proxy and returns its address.
func (c *Case) NewProxy(name, to string) (*Proxy, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	p := &Proxy{c: c, name: name, to: to, open: make(map[net.Conn]bool)}
	p.cut = make(chan struct{})
	close(p.cut)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, ln.Addr().String()
}

func (p *Proxy) works() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) serve(conn net.Conn) {
	select {
	case <-p.works():
	default: // made while the network is cut: reset when it is back
		<-p.works()
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	p.open[conn], p.open[up] = true, true
	p.mu.Unlock()
	copyBytes := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			<-p.works() // while the network is cut nothing arrives, also no end
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		from.Close()
		to.Close()
	}
	go copyBytes(up, conn)
	copyBytes(conn, up)
}

// Cut makes the server silent for a time: open connections stay open and silent, new ones are not served. At
// the end the connections of that time are reset.
func (p *Proxy) Cut(d time.Duration) {
	p.mu.Lock()
	p.cut = make(chan struct{})
	cut := p.cut
	p.mu.Unlock()
	p.c.Log("network: server %s is silent for %v", p.name, d)
	time.AfterFunc(d, func() {
		p.mu.Lock()
		for c := range p.open {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			delete(p.open, c)
		}
		close(cut)
		p.mu.Unlock()
		p.c.Log("network: server %s is back, its connections are reset", p.name)
	})
}
