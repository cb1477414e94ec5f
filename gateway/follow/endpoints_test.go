package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/platform"
)

func entryOf(name, address string, born int64, revision uint64) platform.Object {
	spec := fmt.Sprintf(`{"service":"plans","address":%q,"zone":"dc0","slots":6,"state":"ready","seq":1,"born":%d}`, address, born)
	return platform.Object{Name: name, Revision: revision, Spec: json.RawMessage(spec)}
}

// followed is a follower of a list, and the ids that it told last.
type followed struct {
	*Endpoints
	told []string
}

func newFollowed() *followed {
	f := &followed{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{Now: func() time.Duration { return time.Hour }, Log: logrus.NewEntry(log)}
	f.Endpoints = NewEndpoints(o, func(service string) bool { return service == "plans" }, func(all []routing.Endpoint) {
		f.told = nil
		for _, e := range all {
			f.told = append(f.told, e.ID)
		}
	})
	return f
}

// TestOddEntriesNameNoEndpoint: by a list and by a watch alike, also where a good entry turns odd and comes back; the
// others hold.
func TestOddEntriesNameNoEndpoint(t *testing.T) {
	good, other := entryOf("a", "10.0.0.1:80", 36, 1), entryOf("b", "10.0.0.2:80", 36, 2)
	for name, spec := range map[string]string{
		"unreadable": `"\ufffd"`, "of another type": `{"service":["plans"],"address":"10.0.0.2:80"}`, "without fields": `{}`,
		"of an unnamed service": `{"service":"strange","address":"10.0.0.2:80","zone":"dc0","slots":6,"state":"ready","seq":1,"born":99999}`,
		"in an unnamed state":   `{"service":"plans","address":"10.0.0.2:80","zone":"dc0","slots":6,"state":"odd","seq":1,"born":99999}`,
	} {
		t.Run(name, func(t *testing.T) {
			odd := platform.Object{Name: "a", Revision: 3, Spec: json.RawMessage(spec)}
			for way, take := range map[string]func(*followed){
				"watch": func(f *followed) { f.changed(0, []platform.Object{odd}) },
				"list":  func(f *followed) { f.replace(0, []platform.Object{odd, other}) },
			} {
				f := newFollowed()
				f.replace(0, []platform.Object{good, other})
				assert.DeepEqual(t, f.told, []string{"a@10", "b@10"})
				take(f)
				assert.DeepEqual(t, append([]string{way}, f.told...), []string{way, "b@10"})
				f.changed(0, []platform.Object{entryOf("a", "10.0.0.1:80", 36, 4)})
				assert.DeepEqual(t, append([]string{way}, f.told...), []string{way, "a@10", "b@10"})
			}
		})
	}
}

// TestAnEndpointThatStartsAgainIsAnotherOne: by a list and by a watch alike.
func TestAnEndpointThatStartsAgainIsAnotherOne(t *testing.T) {
	f := newFollowed()
	f.replace(0, []platform.Object{entryOf("a", "10.0.0.1:80", 36, 1)})
	f.changed(0, []platform.Object{entryOf("a", "10.0.0.1:80", 37, 2)})
	assert.DeepEqual(t, f.told, []string{"a@11"})
	f.replace(0, []platform.Object{entryOf("a", "10.0.0.1:80", 38, 3)})
	assert.DeepEqual(t, f.told, []string{"a@12"})
}

// TestPagesWithUnreadableObjects: what can be read is taken.
func TestPagesWithUnreadableObjects(t *testing.T) {
	f := newFollowed()
	f.loop.Mirror = NewMirror(f.loop.Now, func() time.Duration { return time.Minute })
	page := platform.Page{Objects: []platform.Object{entryOf("a", "10.0.0.1:80", 36, 1)}, Revision: 1, Unreadable: 1}
	f.loop.take(f, false, time.Hour, &page)
	assert.DeepEqual(t, f.told, []string{"a@10"})
	_, err := f.loop.Mirror.List(context.Background(), platform.KindEndpoint)
	assert.NilError(t, err)
}
