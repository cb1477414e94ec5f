package forward

import (
	"net/http"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// target returns how to connect to an endpoint. All instances share the endpoint's connections: it
// resets those beyond its limit.
func (f *Forwarder) target(req *request, e *routing.Endpoint) upstream.Target {
	t := upstream.Target{ID: e.ID, Address: e.Address}
	if s := req.table.Service(e.Service); s != nil && s.MaxConnections > 0 {
		_, known := f.Peers.Instances()
		t.MaxConnections = limits.MaxConnections(s.MaxConnections, known)
	}
	return t
}

// upstreamRequest builds the request that is sent to an endpoint.
func (req *request) upstreamRequest(s *platform.EndpointRequest) *upstream.Request {
	r := req.httpRequest
	return &upstream.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: platform.HeadersToEndpoint(r.Header, req.ID, s),
		Body:   req.bodyReader(), Length: req.upstreamLength(),
	}
}

// upstreamLength returns the length of the body that is sent; -1 sends it in chunks.
func (req *request) upstreamLength() int64 {
	if req.replayable {
		return req.body.Len()
	}
	return req.contentLength
}

// ownsAnswer reports whether an answer belongs to a request. An endpoint may refuse a request
// before it has read the id.
func (req *request) ownsAnswer(status int, h http.Header) bool {
	a := platform.ReadAnswer(status, h)
	if a.ID == "" {
		return a.NotRun || !a.Signed && status >= http.StatusBadRequest
	}
	return a.ID == req.ID
}
