package hotrestart

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/core"
	"jasperpin/internal/requestid"
)

const (
	// SocketName is the socket's, in the node's private folder.
	SocketName = "jasperpin.sock"
	// meetWait bounds how long a process waits for what the one before it knows: it
	// serves without that, too.
	meetWait = 1500 * time.Millisecond
	// tellWait bounds a write to another process, which may have stopped.
	tellWait = 500 * time.Millisecond
	// namesEvery is how far the others are behind in which names are in use.
	namesEvery = 20 * time.Millisecond
)

// Node is what a process's line tells, and asks of. Memory and Apply may be called from
// the moment at which Listen is.
type Node interface {
	Snapshots() map[string]core.Snapshot
	// Apply carries a call out that another process took.
	Apply(MaintenanceCall)
	// SetProcesses says with whom this process has the machine from now on.
	SetProcesses(Processes)
	// RequestIDs is news of the names in use here, by pool: of all where whole is wanted.
	// Mute says that nobody hears them any more.
	RequestIDs(whole bool) map[string]requestid.Update
	StopTrackingRequestIDs()
	// ApplyPeerRequestIDs takes another process's news, Forget frees its names.
	ApplyPeerRequestIDs(from requestid.Side, news map[string]requestid.Update)
	ForgetPeerRequestIDs(requestid.Side)
	// Listeners are those that a successor goes on with, by the addresses configured.
	Listeners() map[string]net.Listener
}

// Inherited is what a process learns from the one before it.
type Inherited struct {
	Pools     map[string]core.Snapshot
	Listeners map[string]net.Listener // by the addresses configured; the caller closes them
}

// Handover is this process among those of its node. A nil one has no others.
type Handover struct {
	path string
	node Node
	log  *slog.Logger

	mu            sync.Mutex
	kin           kin
	before, after *link
	ln            *net.UnixListener
	closed        bool
	running       sync.WaitGroup
	telling       bool                        // names, to whoever is there
	inUse         map[string]requestid.Update // in the process before, until Listen
}

// link is a connection to another process.
type link struct {
	conn net.Conn
	in   *bufio.Scanner
	mu   sync.Mutex // of writes
}

// newLink makes a link of a connection of which the first bytes have been read.
func newLink(c net.Conn, first []byte) *link {
	in := bufio.NewScanner(io.MultiReader(bytes.NewReader(first), c))
	in.Buffer(make([]byte, 4<<10), maxMessage)
	return &link{conn: c, in: in}
}

// write writes one message. One that fails ends the link, and its reader notices.
func (l *link) write(m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeLocked(m, nil)
}

// writeLocked writes one message with files, which the reader has to look for.
func (l *link) writeLocked(m message, files []int) {
	b, err := encode(m)
	if err == nil {
		_ = l.conn.SetWriteDeadline(time.Now().Add(tellWait))
		if len(files) > 0 {
			// With the first byte alone: a short write here would have the rest sent again.
			_, _, err = l.conn.(*net.UnixConn).WriteMsgUnix(b[:1], syscall.UnixRights(files...), nil)
			b = b[1:]
		}
		if err == nil {
			_, err = l.conn.Write(b)
		}
	}
	if err != nil {
		l.conn.Close()
	}
}

// read reads one message.
func (l *link) read() (message, error) {
	if !l.in.Scan() {
		if err := l.in.Err(); err != nil {
			return message{}, err
		}
		return message{}, net.ErrClosed
	}
	return decode(l.in.Bytes())
}

// Meet looks in a folder for the process that runs, and gives what it knows: nothing
// where there is none, where it does not answer in time, or where it is of a version
// that cannot be read. No folder makes no line.
func Meet(folder string, log *slog.Logger) (*Handover, Inherited) {
	if folder == "" {
		return nil, Inherited{}
	}
	l := &Handover{path: filepath.Join(folder, SocketName), log: log}
	d := net.Dialer{Timeout: meetWait}
	conn, err := d.Dial("unix", l.path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Info("no process before this one answers", "err", err)
		}
		return l, Inherited{}
	}
	_ = conn.SetReadDeadline(time.Now().Add(meetWait))
	newLink(conn, nil).write(message{Hello: true})
	// What goes along with the answer comes with its first bytes.
	first, files, err := receive(conn.(*net.UnixConn))
	k := newLink(conn, first)
	var m message
	if err == nil {
		m, err = k.read()
	}
	listeners := adopt(m.Listen, files, log)
	if err != nil {
		log.Warn("the process before this one tells nothing that can be used", "err", err)
		conn.Close()
		return l, Inherited{}
	}
	_ = conn.SetReadDeadline(time.Time{})
	l.before, l.inUse = k, m.Names
	l.kin.before = max(1, m.Of)
	log.Info("taking over", "processes", l.kin.share().Of, "listeners", len(listeners))
	return l, Inherited{m.Pools, listeners}
}

// Processes is with whom this process has the machine.
func (l *Handover) Processes() Processes {
	if l == nil {
		return Processes{Of: 1}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kin.share()
}

// AnnounceDrain tells the successor that this process takes no client any more, and what it
// still holds.
func (l *Handover) AnnounceDrain(d Drain) {
	l.mu.Lock()
	k := l.after
	l.mu.Unlock()
	if k != nil {
		k.write(message{Drain: &d})
	}
}

// Listen waits for successors and goes on hearing from the process before.
func (l *Handover) Listen(node Node) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node = node
	if l.before != nil {
		node.ApplyPeerRequestIDs(requestid.Before, l.inUse)
		l.inUse = nil
		before := l.before
		l.running.Go(func() { l.hear(before, true) })
		l.tell()
	}
	return l.bind()
}

// tell begins to tell the others which names are in use here, for as long as there are
// any. Called under the lock.
func (l *Handover) tell() {
	if l.telling {
		return
	}
	l.telling = true
	l.running.Go(func() {
		tick := time.NewTicker(namesEvery)
		defer tick.Stop()
		for range tick.C {
			l.mu.Lock()
			older, newer := l.before, l.after
			if l.closed || older == nil && newer == nil {
				l.telling = false
				l.node.StopTrackingRequestIDs() // under the lock: whoever comes next begins anew
				l.mu.Unlock()
				return
			}
			l.mu.Unlock()
			news := l.node.RequestIDs(false)
			if len(news) == 0 {
				continue
			}
			for _, k := range []*link{older, newer} {
				if k != nil {
					k.write(message{Names: news})
				}
			}
		}
	})
}

// bind takes the socket's place in the folder, also from the process before: a third
// one is to find the newest. Called under the lock.
func (l *Handover) bind() error {
	if err := os.Remove(l.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: l.path, Net: "unix"})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false) // by then it may be another's
	if err := os.Chmod(l.path, 0o600); err != nil {
		ln.Close()
		return err
	}
	if l.ln != nil {
		l.ln.Close()
	}
	l.ln = ln
	l.running.Go(func() { l.accept(ln) })
	return nil
}

// accept takes successors, one at a time.
func (l *Handover) accept(ln net.Listener) {
	ln = acceptor.New(ln, "the next process", l.log)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		k := newLink(conn, nil)
		_ = conn.SetReadDeadline(time.Now().Add(tellWait))
		if m, err := k.read(); err != nil || !m.Hello {
			conn.Close()
			continue
		}
		_ = conn.SetReadDeadline(time.Time{})
		l.mu.Lock()
		if l.closed || l.after != nil {
			l.mu.Unlock()
			l.log.Warn("a second successor is turned away while one is there")
			conn.Close()
			continue
		}
		// What is told from now on comes behind what is known now.
		k.mu.Lock()
		l.after, l.kin.after = k, 1
		of, before := l.kin.share().Of, l.before
		l.tell()
		l.mu.Unlock()
		addrs, files := lend(l.node.Listeners(), l.log)
		k.writeLocked(message{Of: of - 1, Pools: l.node.Snapshots(), Names: l.node.RequestIDs(true), Listen: addrs}, files)
		k.mu.Unlock()
		for _, fd := range files {
			_ = syscall.Close(fd)
		}
		l.log.Info("a successor is here", "processes", of)
		l.share(before, 2)
		l.running.Go(func() { l.hear(k, false) })
	}
}

// share tells the node how many processes there are, and the one before how many there
// are from this one on.
func (l *Handover) share(before *link, from int) {
	l.node.SetProcesses(l.Processes())
	if before != nil {
		before.write(message{Of: from})
	}
}

// hear hears from another process until it ends.
func (l *Handover) hear(k *link, before bool) {
	side := requestid.After
	if before {
		side = requestid.Before
	}
	for {
		m, err := k.read()
		if err != nil {
			break
		}
		l.mu.Lock()
		older, newer := l.before, l.after
		if m.Of > 0 && !before {
			l.kin.after = m.Of
		} else if m.Of > 0 {
			l.kin.before = m.Of
		}
		if m.Drain != nil && before {
			l.kin.drain = m.Drain
		}
		l.mu.Unlock()
		if len(m.Names) > 0 {
			l.node.ApplyPeerRequestIDs(side, m.Names)
		}
		if m.Call != nil {
			l.node.Apply(*m.Call)
			for _, other := range []*link{older, newer} {
				if other != nil && other != k {
					other.write(message{Call: m.Call})
				}
			}
		}
		if m.Of > 0 || m.Drain != nil {
			l.node.SetProcesses(l.Processes())
		}
	}
	k.conn.Close()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.node.ForgetPeerRequestIDs(side)
	older, newer := l.before, l.after
	if before {
		l.before, l.kin.before, l.kin.drain = nil, 0, nil
		older = nil
	} else {
		// It failed, or went before this process did: the next one is to find this.
		l.after, l.kin.after = nil, 0
		if err := l.bind(); err != nil {
			l.log.Warn("no successor will find this process", "err", err)
		}
		newer = nil
	}
	kin := l.kin
	l.mu.Unlock()
	l.log.Info("a process of this node has ended", "before", before, "processes", kin.share().Of)
	l.node.SetProcesses(kin.share())
	if older != nil {
		older.write(message{Of: 1 + kin.after})
	}
	if newer != nil {
		newer.write(message{Of: 1 + kin.before})
	}
}

// HasSuccessor says whether a successor is here.
func (l *Handover) HasSuccessor() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.after != nil
}

// Broadcast tells the others of a call.
func (l *Handover) Broadcast(c MaintenanceCall) {
	if l == nil {
		return
	}
	l.mu.Lock()
	older, newer := l.before, l.after
	l.mu.Unlock()
	for _, k := range []*link{older, newer} {
		if k != nil {
			k.write(message{Call: &c})
		}
	}
}

// Close leaves the others. The socket's place stays: it may be a successor's by now.
func (l *Handover) Close() {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.closed = true
	for _, k := range []*link{l.before, l.after} {
		if k != nil {
			k.conn.Close()
		}
	}
	if l.ln != nil {
		l.ln.Close()
	}
	l.mu.Unlock()
	l.running.Wait()
}
