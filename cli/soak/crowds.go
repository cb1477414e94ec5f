package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Limits of processes in soaks with crowds.
const (
	crowdMemoryMB    = 64
	crowdDescriptors = 400
)

// Sizes of a crowd. Without a limit on heads in the configuration, the default of the daemon applies, which is
// larger than crowdHeadBytes.
const (
	crowdMembers   = 300
	crowdHeadBytes = 40 << 10
	crowdBodyBytes = 200 << 10
	crowdTimeout   = 5 * time.Second // of a member's writes
)

// crowdShapes are what the members of a crowd send. All stop short of the end of their requests.
var crowdShapes = []struct{ name, text string }{
	{"heads of short lines", crowdHead(shortLines())},
	{"bodies after heads of short lines", crowdHead(shortLines()+"Content-Length: 10\r\n") + "\r\n123456789"},
	{"large bodies", crowdHead(fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes)) + "\r\n" + strings.Repeat("x", crowdBodyBytes-1)},
	{"small chunks", crowdHead("Transfer-Encoding: chunked\r\n") + "\r\n" + strings.Repeat("1\r\nx\r\n", crowdHeadBytes)},
	{"nothing", ""},
}

// crowdHead returns the head of a request with further lines, without the empty line at its end.
func crowdHead(lines string) string {
	r := standin.Request{Method: "POST", Host: host, Path: "/brief/1", ID: "crowd", Key: permanentKey, Timeout: streamWait, PromptID: "c0", PromptTokens: promptTokens}
	return strings.TrimSuffix(r.Encode(), "\r\n") + lines
}

// shortLines returns header lines that take many times their size once they are parsed.
func shortLines() string {
	var b strings.Builder
	for n := 0; b.Len() < crowdHeadBytes; n++ {
		_, _ = fmt.Fprintf(&b, "a%x:\r\n", n)
	}
	return b.String()
}

// sendCrowd connects many callers to a process that send requests without their ends. It excuses what ordinary callers
// of that process lose, but not what the process holds.
func sendCrowd(w *environment, r *rand.Rand) (string, func()) {
	p, shape := anyProcess(w, r), crowdShapes[r.IntN(len(crowdShapes))]
	end := w.disruptions.start(p.name)
	conns := make(chan net.Conn, crowdMembers)
	for range crowdMembers {
		go func() { conns <- joinCrowd(p.callersAddress, shape.text) }()
	}
	return fmt.Sprintf("%d callers send %s to %s", crowdMembers, shape.name, p.name), func() {
		for range crowdMembers {
			if conn := <-conns; conn != nil {
				_ = conn.Close()
			}
		}
		end()
	}
}

// joinCrowd connects and sends text. It returns nil if the process can't be connected to.
func joinCrowd(address, text string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, crowdTimeout)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
	_, _ = io.WriteString(conn, text) // the process may refuse it
	return conn
}

// hasCrowds reports whether a soak draws crowds.
func (o *Options) hasCrowds() bool {
	for _, name := range append(faultNamesForSeed(o.Seed), o.FaultNames...) {
		if name == crowdFault {
			return true
		}
	}
	return false
}

// crowdSettings returns the settings of processes that meet crowds.
func (o *Options) crowdSettings() string {
	if !o.hasCrowds() {
		return ""
	}
	return fmt.Sprintf("memory_mb = %d\ndescriptors = %d\n", crowdMemoryMB, crowdDescriptors)
}

// checkCrowds checks that the processes stay within their memory and their descriptors.
func (s *soak) checkCrowds() {
	if !s.hasCrowds() {
		return
	}
	for _, p := range s.env.processes {
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		if peak := peakMemoryMB(pid); peak > crowdMemoryMB {
			s.addFinding("%s has held %d MB of %d", p.name, peak, crowdMemoryMB)
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(open) > crowdDescriptors {
			s.addFinding("%s has %d descriptors open of %d", p.name, len(open), crowdDescriptors)
		}
	}
}

// peakMemoryMB returns the largest resident memory of a process in MB; 0 if it is not known.
func peakMemoryMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kB >> 10
		}
	}
	return 0
}
