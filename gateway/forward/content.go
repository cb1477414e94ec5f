package forward

import (
	"encoding/hex"
	"strconv"

	"github.com/agateway/agateway/core/crashers"
)

// identify names a request by its team and by what it asks for: method, host, path with query, and body. A caller that asks
// again for the same, at whatever instance, brings the same one. Of a body that is not all in memory, the part that is and
// the stated length count.
func (req *request) identify() {
	length := int64(len(req.body))
	if !req.replayable {
		length = req.length
	}
	team := req.teamName()
	req.identity = crashers.Request{Team: team, Content: crashers.HashContent(
		[]byte(team), []byte(req.http.Method), []byte(req.http.Host), []byte(req.http.RequestURI),
		strconv.AppendInt(nil, length, 10), req.body,
	)}
}

// contentText returns the content for a log line.
func (req *request) contentText() string { return hex.EncodeToString(req.identity.Content[:]) }
