package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one instance of the daemon. It is started again whenever it ends.
type process struct {
	name, program, settings, log string
	callers, ready, directory    string
	harms                        *harms

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	closing bool
	ended   chan struct{}
}

// restartAfter is the pause before a process that ended is started again.
const restartAfter = 300 * time.Millisecond

// Ports that the system does not give to outgoing connections: an instance that starts again needs the port it had.
// Soaks that run side by side take their ports from different parts of them, by their process ids.
const (
	portFrom  = 12000
	portTo    = 32000
	portParts = 10
	portsEach = (portTo - portFrom) / portParts
)

// ports gives out addresses on the loopback interface, each once: between the look whether a port is free and the
// start of the process that is to have it, it is free to be drawn again.
type ports struct{ given map[int]bool }

// take returns n free addresses.
func (p *ports) take(n int) ([]string, error) {
	if p.given == nil {
		p.given = map[int]bool{}
	}
	var out []string
	from := portFrom + os.Getpid()%portParts*portsEach
	for tries := 0; len(out) < n && tries < 4*portsEach; tries++ {
		port := from + rand.IntN(portsEach)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if p.given[port] || !free(address) {
			continue
		}
		p.given[port] = true
		out = append(out, address)
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// newProcess writes the settings of an instance.
func newProcess(dir, program, store string, i int, free *ports, h *harms, o *Options) (*process, error) {
	const addresses = 4
	at, err := free.take(addresses)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprint("front-", i), program: program, callers: at[0], ready: at[1], directory: at[2],
		settings: filepath.Join(dir, fmt.Sprintf("front-%d.ini", i)), log: filepath.Join(dir, fmt.Sprintf("front-%d.log", i)),
		ended: make(chan struct{}), harms: h,
	}
	text := fmt.Sprintf(`[instance]
id = %s
data_centre = dc%d
region = r
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
[store]
address = %s
[bounds]
revoke = %v
grace = %v
[retries]
share = 0.8
reserve = 150
[rollouts]
share = 0.1
reserve = 50
`, p.name, i%dataCentres, at[0], at[1], at[2], at[3], store, revokeBound, o.Grace)
	if len(o.Without) > 0 {
		text += "[mechanisms]\n" + strings.Join(o.Without, " = false\n") + " = false\n"
	}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// run keeps the process running until stop.
func (p *process) run() {
	defer close(p.ended)
	for p.start() {
		_ = p.cmd.Wait() // however it ended
		time.Sleep(restartAfter)
	}
}

// start starts the process, unless the soak ends.
func (p *process) start() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return false
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return false
	}
	p.cmd = exec.Command(p.program, "front", "--config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.starts++
	err = p.cmd.Start()
	_ = out.Close() // the process has its own
	return err == nil
}

// signal sends a signal to the process as it runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// kill ends the process as a kill does; it starts again.
func (p *process) kill() {
	p.harms.moment(p.name)
	p.signal(syscall.SIGKILL)
}

// terminate asks the process to end; it starts again. That is no harm: what is in progress has to end well.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}
