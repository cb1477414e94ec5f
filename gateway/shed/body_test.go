package shed

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/shedding"
)

// readerFunc is a function that reads.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// TestBodyThatEndsWhileItsConnectionIsShed guards against requests that are passed on although their answers can't be
// delivered: the end of the body arrives in the moment in which its connection is closed for lack of room.
func TestBodyThatEndsWhileItsConnectionIsShed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{Settings: shedding.Settings{Bytes: 1 << 20, Connections: 10}, Log: logrus.NewEntry(log), Scope: tally.NoopScope})
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := g.open(near)
	defer func() { _ = c.Close() }()
	_, whole, err := ReadBody(withConn(context.Background(), c), readerFunc(func(b []byte) (int, error) {
		c.shed.Store(true)
		return copy(b, "x"), io.EOF
	}), 1, 2)
	assert.Assert(t, !whole)
	assert.Assert(t, errorx.IsOfType(err, ErrNoRoom))
}
