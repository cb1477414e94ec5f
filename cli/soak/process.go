package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one instance of the daemon. It is restarted whenever it ends.
type process struct {
	name, program, settingsPath, logPath           string
	callersAddress, readyAddress, directoryAddress string
	disruptions                                    *disruptions

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  []time.Time
	stops   []time.Time // when it got SIGTERM
	closing bool
	done    chan struct{}
}

// restartDelay is the pause before a process that ended is restarted.
const restartDelay = 300 * time.Millisecond

// Ports below the range that the system assigns to outgoing connections: a restarted instance needs
// the port that it had. Soaks that run side by side use different parts of the range, chosen by
// process id.
const (
	firstPort    = 12000
	endPort      = 32000
	portParts    = 10
	portsPerPart = (endPort - firstPort) / portParts
)

// portAllocator allocates addresses on the loopback interface and returns each only once. A port
// that was found free stays free until its process starts, so it could be drawn again.
type portAllocator struct{ allocated map[int]bool }

// allocate returns n free addresses, or an error if it finds too few.
func (p *portAllocator) allocate(n int) ([]string, error) {
	if p.allocated == nil {
		p.allocated = map[int]bool{}
	}
	var out []string
	from := firstPort + os.Getpid()%portParts*portsPerPart
	for tries := 0; len(out) < n && tries < 4*portsPerPart; tries++ {
		port := from + rand.IntN(portsPerPart)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if p.allocated[port] || !isFree(address) {
			continue
		}
		p.allocated[port] = true
		out = append(out, address)
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// newProcess writes the settings file of instance i and doesn't start it.
func newProcess(dir, program, store string, i int, w *environment, o *Options) (*process, error) {
	const addressCount = 4
	addresses, err := w.ports.allocate(addressCount)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: processName(i), program: program, callersAddress: addresses[0], readyAddress: addresses[1], directoryAddress: addresses[2],
		settingsPath: filepath.Join(dir, fmt.Sprintf("front-%d.ini", i)), logPath: filepath.Join(dir, fmt.Sprintf("front-%d.log", i)),
		done: make(chan struct{}), disruptions: &w.disruptions,
	}
	source := sourceIP(i)
	if o.OtherProgram != "" && i%2 == 1 { // an older build knows no source address
		p.program, source = o.OtherProgram, ""
	}
	advertised := ""
	if slices.Contains(o.FaultNames, cutLinksFault) {
		address, err := w.links.add(i, addresses[3])
		if err != nil {
			return nil, err
		}
		advertised = "peers_advertised = " + address + "\n"
	}
	settings := fmt.Sprintf(`[instance]
id = %s
data_centre = dc%d
region = r
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
%s[store]
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
`, p.name, i%dataCentres, addresses[0], addresses[1], addresses[2], addresses[3], advertised, store, revokeBound, o.ShutdownGrace)
	if source != "" {
		settings += "[process]\nsource_ip = " + source + "\n" + o.crowdSettings()
	}
	settings += switches(o, source != "")
	return p, os.WriteFile(p.settingsPath, []byte(settings), 0o600)
}

// switches returns the settings that switch mechanisms off and the parts for overload on. An older build does
// not know those parts.
func switches(o *Options, knowsParts bool) string {
	var on, off []string
	for _, name := range o.DisabledMechanisms {
		if !slices.Contains(overloadParts, name) || name == "ranks" && knowsParts {
			off = append(off, name)
		}
	}
	if isOverloadSeed(o.Seed) && knowsParts {
		for _, part := range overloadParts {
			enabled := slices.Contains(o.OverloadParts, part) && !slices.Contains(o.DisabledMechanisms, part)
			switch {
			case part != "ranks" && enabled:
				on = append(on, part)
			case part == "ranks" && !enabled && !slices.Contains(off, part):
				off = append(off, part)
			}
		}
	}
	section := func(name, value string, keys []string) string {
		if len(keys) == 0 {
			return ""
		}
		return "[" + name + "]\n" + strings.Join(keys, value) + value
	}
	return section("overload", " = true\n", on) + section("mechanisms", " = false\n", off)
}

// run restarts the process whenever it ends, until stop is called.
func (p *process) run() {
	defer close(p.done)
	for p.start() {
		_ = p.cmd.Wait() // any exit status is fine
		time.Sleep(restartDelay)
	}
}

// start starts the process. It returns false if the soak is ending or the start failed.
func (p *process) start() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return false
	}
	out, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return false
	}
	p.cmd = exec.Command(p.program, "front", "--config", p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.starts = append(p.starts, time.Now())
	err = p.cmd.Start()
	_ = out.Close() // the process has its own descriptor
	return err == nil
}

// startedBetween reports whether the process was started between two times.
func (p *process) startedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.starts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// signal sends a signal to the process that runs now, if any.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// kill sends SIGKILL. The process is then restarted.
func (p *process) kill() {
	p.disruptions.recordInstant(p.name)
	p.signal(syscall.SIGKILL)
}

// terminate sends SIGTERM. The process is then restarted. This is no disruption: requests in
// progress have to complete.
func (p *process) terminate() {
	p.mu.Lock()
	p.stops = append(p.stops, time.Now())
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

// forcedEndBetween reports whether a drain that lasts for grace may have ended by force between two
// times.
func (p *process) forcedEndBetween(from, to time.Time, grace time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.stops, func(at time.Time) bool {
		end := at.Add(grace)
		return end.Add(timingMargin).After(from) && end.Add(-timingMargin).Before(to)
	})
}

// stop ends the process and doesn't restart it. It returns when the process has ended.
func (p *process) stop() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}
