package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	longBody  = 1 << 30 // as long as the pool's may be
	openLong  = 60      // at a time, for their memory
	doorCalls = 300
	crowd     = 3000
)

// store serves long bodies and takes them.
func store(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(longBody))
	piece := make([]byte, 64<<10)
	for range longBody / len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// operation measures what staff and long bodies meet: the door while the node is idle and
// under a crowd, throughput beside the plain proxy, and memory for each open long body.
func operation(ctx context.Context, out io.Writer) (figures, error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a port for the servers: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(store)}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	at, err := emulator.Unused()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "operation.toml")
	text := fmt.Sprintf("[node]\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[limits]\nmemory = \"64MB\"\ndescriptors = 384\n"+
		"[[service]]\nname = \"web\"\n[[service.route]]\nas = \"page\"\npool = \"web\"\n"+
		"[[pool]]\nname = \"web\"\nbody = \"1GB\"\nservers = [%q]\n[[pool.class]]\nname = \"page\"\nrepeat = \"never\"\naim = \"5s\"\ndeadline = \"20s\"\n", at, ln.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("the node's file: %w", err)
	}
	n, p, err := beside(dir, file, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	defer func() { _ = n.End() }()
	defer func() { _ = p.End() }()
	var f figures
	if err := atDoor(ctx, out, &f, n, at); err != nil {
		return f, err
	}
	for _, upload := range []bool{false, true} {
		var ratios []float64
		for range 3 {
			a, err := rate(ctx, n.Line, upload)
			if err != nil {
				return f, err
			}
			b, err := rate(ctx, p.Line, upload)
			if err != nil {
				return f, err
			}
			fmt.Fprintf(out, "one body of 1 GiB, upload %v: node %.0f MB/s, plain proxy %.0f\n", upload, a, b)
			ratios = append(ratios, a/b)
		}
		f.add(map[bool]string{false: "download_ratio", true: "upload_ratio"}[upload], "%.2f", median(ratios))
	}
	return f, memory(ctx, out, &f, n)
}

// atDoor times calls at the door, idle and under a crowd.
func atDoor(ctx context.Context, out io.Writer, f *figures, n *testbed.Process, at string) error {
	for _, busy := range []bool{false, true} {
		name := "idle"
		if busy {
			name = "crowd"
			stop := beset(n.Line, at)
			defer stop()
			l := &emulator.Load{
				Addr: n.Line, Rate: 1000, For: 20 * time.Second, Seed: 5,
				Kinds: []emulator.Kind{{Class: "page", Path: "/page/", Method: "POST", Share: 1, Body: 200, Aim: time.Second, Deadline: 5 * time.Second}},
			}
			loaded, cancel := context.WithCancel(ctx)
			defer cancel()
			l.Start(loaded)
		}
		var took []time.Duration
		late := 0
		for i := range doorCalls {
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			began := time.Now()
			_, err := admin.Call(call, at, []string{"readyz", "telemetry"}[i%2])
			cancel()
			if err != nil && !errors.Is(err, admin.ErrRefused) {
				late++
			}
			took = append(took, time.Since(began))
			time.Sleep(5 * time.Millisecond) // between callers
		}
		slices.Sort(took)
		p50, p99 := ms(took[len(took)/2]), ms(took[len(took)*99/100])
		fmt.Fprintf(out, "door, %s: p50 %.2f ms, p99 %.2f ms, %d of %d without an answer\n", name, p50, p99, late, doorCalls)
		f.add("door_"+name+"_p50_ms", "%.2f", p50)
		f.add("door_"+name+"_p99_ms", "%.2f", p99)
		if late > 0 {
			return fmt.Errorf("%w: %d calls without an answer within 2 s", errBound, late)
		}
	}
	return nil
}

// beset keeps thousands of idle and half-written connections coming at a node, and silent
// callers at its door, until stop.
func beset(addr, at string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			var open []net.Conn
			defer func() {
				for _, c := range open {
					c.Close()
				}
			}()
			for n := 0; ctx.Err() == nil; n++ {
				to := addr
				if n%20 == 0 {
					to = at
				}
				c, err := net.DialTimeout("tcp", to, time.Second)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				if n%2 == i%2 {
					_, _ = io.WriteString(c, "POST /page/1 HTTP/1.1\r\nHo")
				}
				if open = append(open, c); len(open) > crowd/8 {
					open[0].Close()
					open = open[1:]
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// rate moves one body of 1 GiB through a proxy and gives MB a second.
func rate(ctx context.Context, addr string, upload bool) (float64, error) {
	began := time.Now()
	method, body := http.MethodGet, io.Reader(nil)
	if upload {
		method, body = http.MethodPost, io.LimitReader(zeros{}, longBody)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/page/1", body)
	if err != nil {
		return 0, fmt.Errorf("a long request: %w", err)
	}
	if upload {
		req.ContentLength = longBody
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("a long request: %w", err)
	}
	defer resp.Body.Close()
	var got int64
	if upload {
		_, err = fmt.Fscan(resp.Body, &got) // the server's count
	} else {
		got, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.StatusCode != http.StatusOK || got != longBody {
		return 0, fmt.Errorf("%w: status %d, %d bytes, %v", errBound, resp.StatusCode, got, err) //nolint:errorlint // err may be nil, which %w does not print
	}
	return longBody / 1e6 / time.Since(began).Seconds(), nil
}

// zeros are bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// memory has many long uploads open, each at 64 kB a second, and tells what one costs.
func memory(ctx context.Context, out io.Writer, f *figures, n *testbed.Process) error {
	before, err := n.Memory()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for range openLong {
		all.Go(func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", n.Line)
			if err != nil {
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /page/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", longBody)
			piece := make([]byte, 6400)
			for ctx.Err() == nil {
				if _, err := c.Write(piece); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	after, err := n.Memory()
	cancel()
	all.Wait()
	if err != nil {
		return err
	}
	each := float64(after-before) / openLong / 1024
	fmt.Fprintf(out, "%d uploads of 1 GiB open at 64 kB/s: %.1f to %.1f MB resident, %.1f KiB each\n", openLong, float64(before)/1e6, float64(after)/1e6, each)
	f.add("kib_an_open_upload", "%.1f", each)
	return nil
}
