package crowds

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// processLimits are what the process may use.
type processLimits struct {
	memoryMB, descriptors int
	// maxOpen is how many descriptors may be open. The rest is left for connections to the store, endpoints and
	// other instances.
	maxOpen int
}

// smallProcess is a process for which a crowd of some hundred members is large, machine has the limits of a
// machine on the platform.
var (
	smallProcess = processLimits{memoryMB: 64, descriptors: 400, maxOpen: 350}
	machine      = processLimits{memoryMB: 134, descriptors: 4100, maxOpen: 3900}
)

// daemonProgram is the daemon, built without the race detector, whose memory is not the daemon's.
var daemonProgram string

func TestMain(m *testing.M) { os.Exit(runWithDaemon(m)) }

func runWithDaemon(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowds")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonProgram = filepath.Join(dir, "agatewayd")
	if out, err := exec.Command("go", "build", "-o", daemonProgram, "github.com/agateway/agateway/gateway/cmd/agatewayd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build of the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a process of the daemon.
type process struct {
	limits processLimits
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the process has ended
	log    string        // path
	// peakKB is the largest sum of resident memory and bytes that were received and not read.
	peakKB atomic.Int64
}

// startProcess starts the daemon with settings, whose path is its last argument. The process is ended with the
// test. Its callers' addresses are those whose unread bytes count as its memory.
func startProcess(t *testing.T, l processLimits, addresses []string, settings string, arguments ...string) *process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.ini")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	p := &process{limits: l, ended: make(chan struct{}), log: filepath.Join(dir, "log")}
	out, err := os.Create(p.log)
	assert.NilError(t, err)
	defer func() { _ = out.Close() }() // the process has its own descriptor
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, l.descriptors)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", limited, daemonProgram}, append(arguments, path)...)...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // any end is found by its checks
		close(p.ended)
	}()
	go p.sampleMemory(addresses)
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			t.Logf("the last lines of the process:\n%s", tail(p.log))
		}
	})
	return p
}

// sampleInterval is the time between two samples of the memory.
const sampleInterval = 30 * time.Millisecond

// sampleMemory records the peak of the memory until the process has ended.
func (p *process) sampleMemory(addresses []string) {
	ticks := time.NewTicker(sampleInterval)
	defer ticks.Stop()
	for {
		p.peakKB.Store(max(p.peakKB.Load(), p.memoryKB("VmRSS:")+unreadBytes(addresses)>>10))
		select {
		case <-p.ended:
			return
		case <-ticks.C:
		}
	}
}

// memoryKB returns a value of the process's status; 0 if it has ended.
func (p *process) memoryKB(field string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, field); ok {
			kB, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kB
		}
	}
	return 0
}

// unreadBytes returns how many bytes the connections of addresses have received that were not read.
func unreadBytes(addresses []string) int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ports := map[string]bool{}
	for _, a := range addresses {
		port, _ := strconv.Atoi(a[strings.LastIndexByte(a, ':')+1:])
		ports[fmt.Sprintf("%04X", port)] = true
	}
	const listening = "0A"
	var sum int64
	for line := range strings.SplitSeq(string(raw), "\n") {
		fields := strings.Fields(line) // number, local address, remote address, state, queues, ...
		if len(fields) < 5 || fields[3] == listening || !ports[fields[1][strings.IndexByte(fields[1], ':')+1:]] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// tail returns the last lines of a file, each cut after some hundred bytes.
func tail(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	var out strings.Builder
	for _, line := range lines[max(len(lines)-10, 0):] {
		fmt.Fprintf(&out, "%.300s\n", line)
	}
	return out.String()
}

func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(t, err)
	return len(entries)
}

// assertLives checks that the process has not ended.
func (p *process) assertLives(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
}

// assertSound checks that the process lives, and that its memory and descriptors are within the bounds.
func (p *process) assertSound(t *testing.T) {
	t.Helper()
	p.assertLives(t)
	resident, withUnread, descriptors := p.memoryKB("VmHWM:")>>10, p.peakKB.Load()>>10, p.openDescriptors(t)
	t.Logf("peak of the memory %d MB, with unread bytes %d MB, %d descriptors open", resident, withUnread, descriptors)
	assert.Check(t, max(resident, withUnread) <= int64(p.limits.memoryMB), "memory: %d MB of %d", max(resident, withUnread), p.limits.memoryMB)
	assert.Check(t, descriptors <= p.limits.maxOpen, "descriptors: %d of %d", descriptors, p.limits.maxOpen)
}

// tries, tryInterval and tryTimeout bound how often an ordinary caller tries. They keep a test from waiting
// without end; a caller of a sound process needs one try.
const (
	tries       = 100
	tryInterval = 200 * time.Millisecond
	tryTimeout  = 10 * time.Second
)

// assertAnswered checks that a request is answered, if need be after further tries.
func (p *process) assertAnswered(t *testing.T, ask func() error) {
	t.Helper()
	var last error
	for range tries {
		if last = ask(); last == nil {
			return
		}
		p.assertLives(t)
		time.Sleep(tryInterval)
	}
	t.Errorf("no answer: %v", last)
}
