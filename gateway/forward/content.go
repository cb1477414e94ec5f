package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/agateway/agateway/core/crashers"
)

// identify names a request by its team and by what it asks for: method, host, path with query, and body. A caller that asks
// again for the same, at whatever instance, brings the same one. Of a body that is not all in memory, the part that is and
// the stated length count.
func (req *request) identify() {
	req.identity = crashers.Request{Team: req.teamName(), Content: req.content()}
}

func (req *request) content() (c crashers.Content) {
	h := sha256.New()
	for _, part := range []string{req.teamName(), req.http.Method, req.http.Host, req.http.RequestURI} {
		writePart(h, part)
	}
	length := int64(len(req.body))
	if !req.replayable {
		length = req.length
	}
	_ = binary.Write(h, binary.BigEndian, length)
	_, _ = h.Write(req.body)
	copy(c[:], h.Sum(nil))
	return c
}

// writePart adds a part with its length, so that no two lists of parts look alike.
func writePart(h hash.Hash, part string) {
	_ = binary.Write(h, binary.BigEndian, uint32(len(part)))
	_, _ = io.WriteString(h, part)
}

// contentText returns the content for a log line.
func (req *request) contentText() string {
	return hex.EncodeToString(req.identity.Content[:])
}
