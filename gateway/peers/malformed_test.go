package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/peers"
)

// TestMalformedPeerAnswers checks that an answer of another instance counts as none if its status is none or the name of a
// field is malformed.
func TestMalformedPeerAnswers(t *testing.T) {
	for _, c := range []struct {
		field hpack.HeaderField
		sound bool
	}{
		{hpack.HeaderField{Name: "x-note", Value: "1"}, true},
		{hpack.HeaderField{Name: "x note", Value: "1"}, false},
		{hpack.HeaderField{Name: "x-note ", Value: "1"}, false},
		{hpack.HeaderField{Name: "x\x01note", Value: "1"}, false},
		{hpack.HeaderField{Name: "x-note", Value: "\x01"}, false},
		{hpack.HeaderField{Name: ":status", Value: "000"}, false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			if conn, err := l.Accept(); err == nil {
				answerStreams(conn, c.field)
			}
		}()
		pool := peers.NewPool("", time.Second, network.TCP{})
		_, err = peers.Call(context.Background(), pool, l.Addr().String(), 2*time.Second, peerv1connect.PeerServiceClient.Heartbeat, &peerv1.HeartbeatRequest{})
		assert.Check(t, (err == nil) == c.sound, "%v: %v", c.field, err)
		_ = l.Close()
	}
}

// answerStreams answers the calls on a connection of HTTP/2 with an empty message and a further field. A field for the
// status replaces the status.
func answerStreams(conn net.Conn, field hpack.HeaderField) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if head, ok := frame.(*http2.HeadersFrame); ok {
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: head.StreamID, BlockFragment: encodeHead(field), EndHeaders: true})
			_ = framer.WriteData(head.StreamID, true, nil)
		}
	}
}

func encodeHead(field hpack.HeaderField) []byte {
	var out headBuffer
	encoder := hpack.NewEncoder(&out)
	status := hpack.HeaderField{Name: ":status", Value: "200"}
	if field.Name == status.Name {
		status, field = field, hpack.HeaderField{Name: "x-note", Value: "1"}
	}
	for _, f := range []hpack.HeaderField{status, {Name: "content-type", Value: "application/proto"}, field} {
		_ = encoder.WriteField(f) // a headBuffer takes all
	}
	return out
}

type headBuffer []byte

func (b *headBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
