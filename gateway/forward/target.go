package forward

import (
	"net/http"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// target returns how an endpoint is connected to. Its connections are shared by all instances: it resets what goes beyond
// its bound.
func (f *Forwarder) target(req *request, e *routing.Endpoint) upstream.Target {
	t := upstream.Target{ID: e.ID, Address: e.Address}
	if s := req.table.Service(e.Service); s != nil && s.MaxConnections > 0 {
		_, known := f.Others.Instances()
		t.MaxConnections = limits.MaxConnections(s.MaxConnections, known)
	}
	return t
}

// outgoing builds the request as it goes to an endpoint.
func (req *request) outgoing(s *platform.Send) *upstream.Request {
	r := req.http
	return &upstream.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: platform.ToEndpoint(r.Header, req.ID, s),
		Body:   req.bodyReader(), Length: req.sentLength(),
	}
}

// sentLength returns the length that goes with the body; -1 to send it in chunks.
func (req *request) sentLength() int64 {
	if req.replayable {
		return int64(len(req.body))
	}
	return req.length
}

// mine tells whether an answer belongs to a request. An endpoint that refuses may do so before it has
// looked at the id.
func (req *request) mine(status int, h http.Header) bool {
	a := platform.ReadAnswer(status, h)
	if a.ID == "" {
		return a.NotRun || !a.Signed && status >= http.StatusBadRequest
	}
	return a.ID == req.ID
}
