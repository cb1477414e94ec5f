package unusable

import (
	"errors"
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
)

const kind = platform.KindEndpoint

var errOdd = errors.New("odd")

// report is an Entries with what it has logged and counted.
type report struct {
	*Entries
	log   *logtest.Hook
	scope tally.TestScope
}

func newReport() *report {
	log, hook := logtest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	return &report{New(logrus.NewEntry(log), scope), hook, scope}
}

// check compares the lines, the objects ever found and those that there are now.
func (r *report) check(t *testing.T, lines, found, now int) {
	t.Helper()
	assert.Equal(t, len(r.log.Entries), lines)
	s := r.scope.Snapshot()
	assert.Equal(t, s.Counters()["unusable_objects_total+kind="+kind].Value(), int64(found))
	assert.Equal(t, s.Gauges()["unusable_objects+kind="+kind].Value(), float64(now))
}

func TestObjectIsReportedOncePerChange(t *testing.T) {
	r := newReport()
	odd := platform.Object{Name: "a", Revision: 3, Era: 1}
	for range 3 {
		r.Listed(kind, []platform.Object{odd, {Name: "b"}})
		r.Found(kind, &odd, errOdd, "left out")
	}
	r.check(t, 1, 1, 1)
	odd.Revision = 4
	r.Found(kind, &odd, errOdd, "left out")
	r.check(t, 2, 2, 1)
	r.Gone(kind, "a")
	r.Gone(kind, "a")
	r.check(t, 2, 2, 0)
	r.Found(kind, &odd, errOdd, "left out")
	r.Listed(kind, []platform.Object{{Name: "b"}})
	r.check(t, 3, 3, 0)
}

func TestLinesAreBounded(t *testing.T) {
	r := newReport()
	for i := range 3 * maxLogged {
		r.Found(kind, &platform.Object{Name: fmt.Sprint(i), Revision: 1}, errOdd, "left out")
	}
	r.check(t, maxLogged, 3*maxLogged, 3*maxLogged)
}

func TestNilReportsNothing(t *testing.T) {
	var e *Entries
	e.Found(kind, &platform.Object{Name: "a"}, errOdd, "left out")
	e.Gone(kind, "a")
	e.Listed(kind, nil)
}
