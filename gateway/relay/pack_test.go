package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/platform"
)

func someObjects(from, n int) []platform.Object {
	var out []platform.Object
	for i := from; i < from+n; i++ {
		spec := fmt.Sprintf(`{"service":"m","address":"10.0.%d.%d:80","slots":8,"state":"ready"}`, i/250, i%250)
		out = append(out, platform.Object{Name: fmt.Sprint("e", i), Revision: uint64(i + 1), Created: uint64(i), Spec: json.RawMessage(spec)})
	}
	return out
}

// TestPagesArePackedOnce: all followers that ask for the same page share one packed copy. Before,
// a list of 10,000 endpoints was encoded and compressed for each of 16 followers.
func TestPagesArePackedOnce(t *testing.T) {
	var p packer
	objects := someObjects(0, 500)
	var followers sync.WaitGroup
	for range 16 {
		followers.Go(func() {
			raw, err := p.pack("k", objects)
			assert.Check(t, err == nil)
			page, err := decode(&peerv1.WatchStoreResponse{Packed: raw})
			assert.Check(t, err == nil)
			assert.Check(t, len(page.Objects) == 500 && page.Objects[7].Name == "e7" && string(page.Objects[7].Spec) == string(objects[7].Spec))
		})
	}
	followers.Wait()
	assert.Equal(t, p.packed, 1)
	_, err := p.pack("k", someObjects(0, 499))
	assert.NilError(t, err)
	assert.Equal(t, p.packed, 2)
}

// TestPackedPagesAreBounded: the pages that are kept do not grow with the number of changes.
func TestPackedPagesAreBounded(t *testing.T) {
	var p packer
	for i := range 100 {
		_, err := p.pack("k", someObjects(i, 20))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(p.pages), maxPackedPages)
	assert.Equal(t, len(p.order), maxPackedPages)
}

// TestPageBeyondBoundIsError guards against a page that is cut at the bound and taken for whole, so that the objects behind
// it count as removed. The bound falls between two objects here.
func TestPageBeyondBoundIsError(t *testing.T) {
	const objectBytes = 1 << 20
	o := &peerv1.StoreObject{Name: "e"}
	for size := objectBytes; proto.Size(&peerv1.StoreObjects{Objects: []*peerv1.StoreObject{o}}) != objectBytes; size-- {
		o.Spec = make([]byte, size)
	}
	one, err := proto.Marshal(&peerv1.StoreObjects{Objects: []*peerv1.StoreObject{o}})
	assert.NilError(t, err)
	for _, objects := range []int{maxUnpackedBytes / objectBytes, maxUnpackedBytes/objectBytes + 1} {
		var packed bytes.Buffer
		w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
		assert.NilError(t, err)
		for range objects {
			_, err = w.Write(one)
			assert.NilError(t, err)
		}
		assert.NilError(t, w.Close())
		all, err := unpack(packed.Bytes())
		fits := objects*objectBytes <= maxUnpackedBytes
		assert.Equal(t, err == nil, fits, "%d of %d objects", len(all), objects)
		assert.Equal(t, errorx.IsOfType(err, ErrPack), !fits)
	}
}

// TestUnusablePagesAreErrors: what another instance sends may be cut or damaged.
func TestUnusablePagesAreErrors(t *testing.T) {
	var p packer
	raw, err := p.pack("k", someObjects(0, 100))
	assert.NilError(t, err)
	for _, bad := range [][]byte{{1, 2, 3}, raw[:len(raw)/2], append([]byte{0x1f}, raw...)} {
		_, err := decode(&peerv1.WatchStoreResponse{Packed: bad})
		assert.Assert(t, err != nil)
	}
}

// FuzzUnpack checks that no packed page ends the process.
func FuzzUnpack(f *testing.F) {
	var p packer
	raw, err := p.pack("k", someObjects(0, 10))
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = unpack(raw) })
}

// TestPartsAreJoined: later parts change and remove objects of earlier ones, and the list is as
// fresh as its oldest part.
func TestPartsAreJoined(t *testing.T) {
	parts := &partList{}
	first := platform.Page{Objects: someObjects(0, 3), Revision: 3, Age: 30}
	parts.add(&first)
	changed, gone := someObjects(1, 1)[0], someObjects(2, 1)[0]
	changed.Revision, changed.Name = 9, "e1"
	gone.Deleted = true
	last := platform.Page{Objects: append(someObjects(3, 2), changed, gone), Revision: 10, Age: 20, MinWait: 5}
	parts.add(&last)
	got := parts.page(&last)
	names := []string{}
	for _, o := range got.Objects {
		names = append(names, fmt.Sprint(o.Name, "/", o.Revision, "/", o.Deleted))
	}
	assert.DeepEqual(t, names, []string{"e0/1/false", "e1/9/false", "e2/3/true", "e3/4/false", "e4/5/false"})
	assert.Equal(t, got.Revision, uint64(10))
	assert.Equal(t, got.Age, first.Age)
	assert.Equal(t, got.MinWait, platform.Page{}.MinWait)
}

func BenchmarkPack(b *testing.B) {
	objects := someObjects(0, 2000)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			var p packer
			raw, _ := p.pack("k", objects)
			b.ReportMetric(float64(len(raw)), "bytes")
		}
	})
	b.Run("next", func(b *testing.B) {
		var p packer
		for b.Loop() {
			_, _ = p.pack("k", objects)
		}
	})
}
