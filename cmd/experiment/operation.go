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
	longBody         = 1 << 30 // size of a long body in bytes; also the limit of the pool
	openUploads      = 60      // concurrent uploads whose memory is measured
	adminCalls       = 300
	adminCallTimeout = 2 * time.Second // bound on the time of each admin call
	adminCallPause   = 5 * time.Millisecond
	// During a connection flood each of floodClients clients keeps its share of floodConnections open, and opens
	// one in adminFloodDivisor to the admin address.
	floodClients      = 8
	floodConnections  = 3000
	adminFloodDivisor = 20
	transferRuns      = 3
)

// serveLongBodies answers GET with a long body, and POST with the length of the received body.
func serveLongBodies(w http.ResponseWriter, r *http.Request) {
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

// operationRun measures the latency of admin calls to an idle node and to a node flooded with connections, the
// throughput of long bodies compared with the plain proxy, and the memory of open uploads.
func operationRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the server: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(serveLongBodies)}
	go func() { _ = srv.Serve(ln) }() // serves until Close
	defer srv.Close()
	adminAddr, err := emulator.UnusedAddr()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "operation.toml")
	if err := writeNodeFile(file, operationNodeFile(adminAddr, ln.Addr().String())); err != nil {
		return nil, err
	}
	node, proxy, err := startNodeAndProxy(dir, file, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	defer func() { _ = node.Terminate() }()
	defer func() { _ = proxy.Terminate() }()
	var measured measurements
	if err := measureAdminCalls(ctx, out, &measured, node, adminAddr); err != nil {
		return measured, err
	}
	if err := compareTransfers(ctx, out, &measured, node, proxy); err != nil {
		return measured, err
	}
	return measured, measureOpenUploads(ctx, out, &measured, node)
}

func operationNodeFile(adminAddr, server string) string {
	return fmt.Sprintf("[node]\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[limits]\nmemory = \"64MB\"\ndescriptors = 384\n"+
		"[[service]]\nname = \"web\"\n[[service.route]]\nas = \"page\"\npool = \"web\"\n"+
		"[[pool]]\nname = \"web\"\nbody = \"1GB\"\nservers = [%q]\n[[pool.class]]\nname = \"page\"\nrepeat = \"never\"\naim = \"5s\"\ndeadline = \"20s\"\n", adminAddr, server)
}

// measureAdminCalls measures the latency of admin calls while the node is idle, and while connections and requests
// flood it.
func measureAdminCalls(ctx context.Context, out io.Writer, measured *measurements, node *testbed.Process, adminAddr string) error {
	if err := timeAdminCalls(ctx, out, measured, "idle", adminAddr); err != nil {
		return err
	}
	defer startConnectionFlood(node.Announcement, adminAddr)()
	load := &emulator.Load{
		Addr: node.Announcement, Rate: 1000, Duration: 20 * time.Second, Seed: 5,
		Kinds: []emulator.RequestKind{{Class: "page", Path: "/page/", Method: "POST", Weight: 1, BodyBytes: 200, LatencyObjective: time.Second, Deadline: 5 * time.Second}},
	}
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	load.Start(loadCtx)
	return timeAdminCalls(ctx, out, measured, "crowd", adminAddr)
}

// timeAdminCalls makes admin calls, one after another, and prints their latency. Each call must be answered within
// adminCallTimeout.
func timeAdminCalls(ctx context.Context, out io.Writer, measured *measurements, name, adminAddr string) error {
	var took []time.Duration
	unanswered := 0
	for i := range adminCalls {
		callCtx, cancel := context.WithTimeout(ctx, adminCallTimeout)
		began := time.Now()
		_, err := admin.Call(callCtx, adminAddr, []string{"readyz", "telemetry"}[i%2])
		cancel()
		if err != nil && !errors.Is(err, admin.ErrCallFailed) {
			unanswered++
		}
		took = append(took, time.Since(began))
		time.Sleep(adminCallPause)
	}
	slices.Sort(took)
	p50, p99 := milliseconds(took[len(took)/2]), milliseconds(took[len(took)*99/100])
	fmt.Fprintf(out, "admin calls, %s: p50 %.2f ms, p99 %.2f ms, %d of %d without an answer\n", name, p50, p99, unanswered, adminCalls)
	measured.add("door_"+name+"_p50_ms", "%.2f", p50)
	measured.add("door_"+name+"_p99_ms", "%.2f", p99)
	if unanswered > 0 {
		return fmt.Errorf("%w: %d admin calls without an answer within %v", errBound, unanswered, adminCallTimeout)
	}
	return nil
}

// startConnectionFlood opens connections to a node and to its admin address continuously, until stop is called. Some
// connections stay idle, and some send the first part of a request. stop waits for the clients.
func startConnectionFlood(addr, adminAddr string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range floodClients {
		clients.Go(func() { floodClient(ctx, addr, adminAddr, i) })
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// floodClient runs one client of a flood. Once it has its share of connections, it closes its oldest connection for
// each new one.
func floodClient(ctx context.Context, addr, adminAddr string, number int) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		to := addr
		if n%adminFloodDivisor == 0 {
			to = adminAddr
		}
		c, err := net.DialTimeout("tcp", to, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if n%2 == number%2 {
			_, _ = io.WriteString(c, "POST /page/1 HTTP/1.1\r\nHo")
		}
		if open = append(open, c); len(open) > floodConnections/floodClients {
			open[0].Close()
			open = open[1:]
		}
		time.Sleep(time.Millisecond)
	}
}

// compareTransfers transfers long bodies through the node and the proxy alternately.
func compareTransfers(ctx context.Context, out io.Writer, measured *measurements, node, proxy *testbed.Process) error {
	for _, upload := range []bool{false, true} {
		var ratios []float64
		for range transferRuns {
			n, err := transferRate(ctx, node.Announcement, upload)
			if err != nil {
				return err
			}
			p, err := transferRate(ctx, proxy.Announcement, upload)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "one body of 1 GiB, upload %v: node %.0f MB/s, plain proxy %.0f MB/s\n", upload, n, p)
			ratios = append(ratios, n/p)
		}
		measured.add(map[bool]string{false: "download_ratio", true: "upload_ratio"}[upload], "%.2f", median(ratios))
	}
	return nil
}

// transferRate transfers one long body, and returns the rate in MB/s.
func transferRate(ctx context.Context, addr string, upload bool) (float64, error) {
	began := time.Now()
	method, body := http.MethodGet, io.Reader(nil)
	if upload {
		method, body = http.MethodPost, io.LimitReader(zeros{}, longBody)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/page/1", body)
	if err != nil {
		return 0, fmt.Errorf("creating a request for a long body: %w", err)
	}
	if upload {
		req.ContentLength = longBody
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("sending a request for a long body: %w", err)
	}
	defer resp.Body.Close()
	var received int64
	if upload {
		_, err = fmt.Fscan(resp.Body, &received) // the length of the body that the server received
	} else {
		received, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.StatusCode != http.StatusOK || received != longBody {
		return 0, fmt.Errorf("%w: transferring a long body: status %d, %d bytes, error %v", errBound, resp.StatusCode, received, err) //nolint:errorlint // err may be nil, which %w does not print
	}
	return longBody / 1e6 / time.Since(began).Seconds(), nil
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// measureOpenUploads starts many slow uploads of long bodies, and measures the memory that each adds to the node.
func measureOpenUploads(ctx context.Context, out io.Writer, measured *measurements, node *testbed.Process) error {
	before, err := node.AnonymousMemory()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	var uploads sync.WaitGroup
	for range openUploads {
		uploads.Go(func() { uploadSlowly(ctx, node.Announcement) })
	}
	time.Sleep(5 * time.Second)
	after, err := node.AnonymousMemory()
	cancel()
	uploads.Wait()
	if err != nil {
		return err
	}
	each := float64(after-before) / openUploads / 1024
	fmt.Fprintf(out, "%d concurrent uploads of 1 GiB at 64 kB/s: %.1f MB resident before, %.1f MB during, %.1f KiB per upload\n", openUploads, float64(before)/1e6, float64(after)/1e6, each)
	measured.add("kib_an_open_upload", "%.1f", each)
	return nil
}

// uploadSlowly uploads a long body at 64 kB/s until ctx is done.
func uploadSlowly(ctx context.Context, addr string) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
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
}
