package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// front is a process of the system under test, started with the command of the deploy file.
type front struct {
	name, zone, callers, ready, directory, peers, metrics string
	settings, log                                         string
	binary                                                string
	cmd                                                   *exec.Cmd
	done                                                  chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newFront writes the settings that the platform's template gives for a machine of the site dala-cb.
func newFront(dir, binary, name, zone, storeAddress string) *front {
	f := &front{
		name: name, zone: zone, callers: freeAddress(), ready: freeAddress(), directory: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		settings: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log"), binary: binary,
	}
	text := fmt.Sprintf(`[instance]
id = %s
data_centre = %s
region = kz-south
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[store]
address = %s
[bounds]
revoke = 5000ms
apply = 2000ms
grace = 8s
[retries]
share = 0.8
reserve = 150
window = 10s
[rollouts]
[overload]
deadlines = true
shared_queue = true
only_ranked = true
[process]
memory_mb = 284
descriptors = 4100
link_mbps = 1000.0
`, name, zone, f.callers, f.ready, f.directory, f.peers, f.metrics, storeAddress)
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return f
}

func (f *front) start() error {
	out, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.cmd = exec.Command(f.binary, "front", "--config", f.settings)
	f.cmd.Stdout, f.cmd.Stderr = out, out
	f.cmd.Env = append(os.Environ(), "AGATEWAY_NODE_FILE="+f.settings)
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); _ = out.Close(); close(done) }(f.cmd, f.done)
	return nil
}

func (f *front) signal(s os.Signal) { _ = f.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (f *front) kill() {
	if f.cmd != nil {
		_ = f.cmd.Process.Kill()
		<-f.done
	}
}

// alive reports whether the process runs.
func (f *front) alive() bool {
	select {
	case <-f.done:
		return false
	default:
		return true
	}
}

func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all are ready, and returns false after a time.
func awaitReady(within time.Duration, all ...*front) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, f := range all {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			return true
		}
	}
	return false
}

// logLines returns the log lines that contain a text.
func (f *front) logLines(text string) (out []string) {
	raw, _ := os.ReadFile(f.log)
	for _, l := range strings.Split(string(raw), "\n") {
		if strings.Contains(l, text) {
			out = append(out, l)
		}
	}
	return out
}
