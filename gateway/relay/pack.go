package relay

import (
	"bytes"
	"compress/gzip"
	"sync"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// ErrPack is the type of errors for objects that can't be packed or unpacked.
var ErrPack = errorx.NewNamespace("relay").NewType("pack")

const (
	// minPackedBytes is the size from which on a page is packed. A smaller one fits a packet.
	minPackedBytes = 1024
	// maxPackedPages bounds the packed pages that are kept, and with them their memory.
	maxPackedPages = 16
	// maxUnpackedBytes bounds what a packed page may grow to.
	maxUnpackedBytes = 64 << 20
)

// packer packs pages of objects for the instances that follow this one, and keeps the last ones:
// most followers ask for the same pages, and to compress a page takes most of the time of an answer.
// The zero value is ready to use; it is safe for concurrent use.
type packer struct {
	mu    sync.Mutex
	pages map[pageKey]*packedPage
	order []pageKey // oldest first
	// packed counts the pages that were packed.
	packed int
}

// pageKey identifies the content of a page. Objects leave a closed range of positions when they
// change, and none join it, so the same number of objects are the same objects.
type pageKey struct {
	kind        string
	first, last revision.Position // of the first and the last object
	count       int
	removed     int // how many of them are removed
}

// packedPage is filled by the first one that asks for it.
type packedPage struct {
	once sync.Once
	raw  []byte
	err  error
}

// pack returns the objects as a compressed message.
func (p *packer) pack(kind string, objects []platform.Object) ([]byte, error) {
	page := p.page(keyOf(kind, objects))
	page.once.Do(func() { page.raw, page.err = p.compress(objects) })
	return page.raw, page.err
}

func keyOf(kind string, objects []platform.Object) pageKey {
	key := pageKey{kind: kind, first: objects[0].Position(), last: objects[len(objects)-1].Position(), count: len(objects)}
	for i := range objects {
		if objects[i].Deleted {
			key.removed++
		}
	}
	return key
}

func (p *packer) page(key pageKey) *packedPage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if page := p.pages[key]; page != nil {
		return page
	}
	if p.pages == nil {
		p.pages = map[pageKey]*packedPage{}
	}
	if len(p.order) >= maxPackedPages {
		delete(p.pages, p.order[0])
		p.order = p.order[1:]
	}
	page := &packedPage{}
	p.pages[key], p.order = page, append(p.order, key)
	p.packed++
	return page
}

// gzipWriters holds writers that are not in use. Each has about a megabyte of tables.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // the level is valid
	return w
}}

func (p *packer) compress(objects []platform.Object) ([]byte, error) {
	raw, err := proto.Marshal(&peerv1.StoreObjects{Objects: encodeObjects(objects)})
	if err != nil {
		return nil, ErrPack.Wrap(err, "can't encode %d objects", len(objects))
	}
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	if _, err = w.Write(raw); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, ErrPack.Wrap(err, "can't compress %d objects", len(objects))
	}
	return out.Bytes(), nil
}

// unpack returns the objects of a packed page.
func unpack(packed []byte) ([]*peerv1.StoreObject, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, ErrPack.Wrap(err, "not compressed with gzip")
	}
	raw, err := limitread.All(r, maxUnpackedBytes)
	if err != nil {
		return nil, ErrPack.Wrap(err, "can't decompress objects")
	}
	var out peerv1.StoreObjects
	if err := proto.Unmarshal(raw, &out); err != nil {
		return nil, ErrPack.Wrap(err, "can't decode objects")
	}
	return out.Objects, nil
}

// worthPacking reports whether the objects are large enough to be packed.
func worthPacking(objects []platform.Object) bool {
	size := 0
	for i := range objects {
		if size += len(objects[i].Spec) + len(objects[i].Status); size >= minPackedBytes {
			return true
		}
	}
	return false
}

func encodeObjects(objects []platform.Object) []*peerv1.StoreObject {
	out := make([]*peerv1.StoreObject, len(objects))
	for i := range objects {
		o := &objects[i]
		out[i] = &peerv1.StoreObject{Name: o.Name, Revision: o.Revision, Era: o.Era, Created: o.Created, Spec: o.Spec, Status: o.Status, Deleted: o.Deleted}
	}
	return out
}

func decodeObjects(objects []*peerv1.StoreObject) []platform.Object {
	out := make([]platform.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, platform.Object{Name: o.Name, Revision: o.Revision, Era: o.Era, Created: o.Created, Spec: o.Spec, Status: o.Status, Deleted: o.Deleted})
	}
	return out
}
