package forward

import (
	"encoding/hex"
	"strconv"

	"github.com/agateway/agateway/core/crashers"
)

// identify sets the identity of a request: its team and a hash of its method, host, path with
// query, and body, and the parts of its prompt that others share. The same request sent again, to any
// instance, gets the same identity. For a body that is not all in memory, the buffered part and the stated
// length count.
func (req *request) identify(withParts bool) {
	length := req.body.Len()
	if !req.replayable {
		length = req.contentLength
	}
	team := req.teamName()
	whole := crashers.Subject{Team: team, Content: crashers.HashContentInPieces(req.body.Pieces(),
		[]byte(team), []byte(req.httpRequest.Method), []byte(req.httpRequest.Host), []byte(req.httpRequest.RequestURI),
		strconv.AppendInt(nil, length, 10),
	)}
	req.identity = crashers.Request{Whole: whole}
	if withParts {
		req.identity = crashers.NewRequest(whole, req.sharedParts())
	}
}

// sharedParts returns the ids of the parts of the prompt that other requests may share: all but the last.
func (req *request) sharedParts() []uint64 {
	var out []uint64
	for i := range len(req.PromptParts) - 1 {
		out = append(out, req.PromptParts[i].ID)
	}
	return out
}

// maxLoggedParts bounds how many parts of a prompt a log line names.
const maxLoggedParts = 16

// partsText returns the ids of the parts of the prompt in order, in hexadecimal, for the log.
func (req *request) partsText() []string {
	out := make([]string, min(len(req.PromptParts), maxLoggedParts))
	for i := range out {
		out[i] = strconv.FormatUint(req.PromptParts[i].ID, 16)
	}
	return out
}

// contentText returns the content hash in hexadecimal for the log.
func (req *request) contentText() string { return hex.EncodeToString(req.identity.Whole.Content[:]) }
