// Package admin is the operators' door: an address of its own at which staff and their
// tools ask a node how it does and take servers out. A connection carries one call, a
// line; the answer begins with "done" or "error".
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/acceptor"
)

const (
	// Conns is how many callers are held at a time. They come off the descriptors that
	// stay free of clients and servers.
	Conns = 16
	// MaxLine bounds a call, in bytes.
	MaxLine = 512
	// callWait is how long a caller may take over its line: good ones wait 1 s for the
	// whole answer.
	callWait = time.Second
	// answerWait is how long a caller may take over reading its answer.
	answerWait = time.Second
)

// Operator is what the calls act on. Its methods return quickly.
type Operator interface {
	// Ready says why this process does not serve, or nil.
	Ready() error
	// Metrics writes the figures, a line each.
	Metrics(w *bytes.Buffer) error
	// Exclude takes a server out, Include puts it back.
	Exclude(id string) error
	Include(id string) error
	// Members writes the members of the fleet, a line of JSON each.
	Members(w *bytes.Buffer) error
	// BeginFleet takes the word that no member serves, MemberEnded that one's life has ended.
	BeginFleet() error
	MemberEnded(name, life string) error
}

// Server serves operators' calls.
type Server struct {
	op Operator
	ln net.Listener

	mu      sync.Mutex
	silent  list.List // of net.Conn: those whose call has not come, oldest first
	held    int
	freed   *sync.Cond
	closed  bool
	running sync.WaitGroup
}

// New serves a listener until Close.
func New(ln net.Listener, op Operator, log *slog.Logger) *Server {
	d := &Server{op: op, ln: acceptor.New(ln, "operators", log)}
	d.freed = sync.NewCond(&d.mu)
	d.running.Go(d.accept)
	return d
}

// Addr is where the door listens.
func (d *Server) Addr() string { return d.ln.Addr().String() }

// Close takes no call any more and closes the callers'.
func (d *Server) Close() {
	d.mu.Lock()
	d.closed = true
	for e := d.silent.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	d.freed.Broadcast()
	d.mu.Unlock()
	d.ln.Close()
	d.running.Wait()
}

// accept admits callers. At the cap the one that has said nothing for longest makes
// room, so that a crowd of mute ones keeps no good caller out: its line comes at once.
func (d *Server) accept() {
	for {
		c, err := d.ln.Accept()
		if err != nil { // it is closed
			return
		}
		d.mu.Lock()
		for d.held >= Conns && !d.closed {
			if e := d.silent.Front(); e != nil {
				d.silent.Remove(e)
				e.Value.(net.Conn).Close() // its reader gives the place back
			}
			d.freed.Wait()
		}
		if d.closed {
			d.mu.Unlock()
			c.Close()
			return
		}
		d.held++
		e := d.silent.PushBack(c)
		d.mu.Unlock()
		d.running.Go(func() {
			d.call(c, e)
			c.Close()
			d.mu.Lock()
			d.silent.Remove(e) // nothing where it is out already
			d.held--
			d.freed.Signal()
			d.mu.Unlock()
		})
	}
}

// call reads one line and answers it.
func (d *Server) call(c net.Conn, e *list.Element) {
	_ = c.SetReadDeadline(time.Now().Add(callWait))
	line, err := bufio.NewReaderSize(c, MaxLine).ReadSlice('\n')
	d.mu.Lock()
	d.silent.Remove(e)
	d.mu.Unlock()
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		d.say(c, fmt.Sprintf("error a call has at most %d bytes\n", MaxLine))
	case err != nil && len(line) == 0:
	case err != nil && !errors.Is(err, io.EOF):
		d.say(c, "error no whole line came\n")
	default: // a line may also end with what the caller sends
		d.say(c, Answer(d.op, string(line)))
	}
}

func (d *Server) say(c net.Conn, text string) {
	_ = c.SetWriteDeadline(time.Now().Add(answerWait))
	_, _ = c.Write([]byte(text))
}

// Answer carries one call out and gives its answer, whole lines.
func Answer(op Operator, line string) string {
	words := strings.Fields(line)
	if len(words) == 0 {
		return "error an empty call\n"
	}
	name, args := words[0], words[1:]
	want := map[string]int{"readyz": 0, "telemetry": 0, "exclude": 1, "include": 1, "members": 0, "begin-fleet": 0, "member-ended": 2}
	n, known := want[name]
	switch {
	case !known:
		return fmt.Sprintf("error unknown call %.40q: readyz, telemetry, exclude ID, include ID, members, begin-fleet or member-ended NAME LIFE\n", name)
	case len(args) != n:
		return fmt.Sprintf("error %s takes %d words, not %d\n", name, n, len(args))
	}
	var err error
	switch name {
	case "readyz":
		err = op.Ready()
	case "telemetry", "members":
		write := op.Metrics
		if name == "members" {
			write = op.Members
		}
		text := bytes.NewBufferString("done\n")
		if err = write(text); err == nil {
			return text.String() + "end\n"
		}
	case "begin-fleet":
		err = op.BeginFleet()
	case "member-ended":
		err = op.MemberEnded(args[0], args[1])
	case "exclude":
		err = op.Exclude(args[0])
	case "include":
		err = op.Include(args[0])
	}
	if err != nil {
		return "error " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return "done\n"
}
