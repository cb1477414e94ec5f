package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and event are what the platform's store keeps and sends.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	kind    string
	rev     uint64
}

// store is a stand-in for the platform's store, in memory. Its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{}
	// down lists the listeners whose callers are turned away with a reset.
	down map[string]bool
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), down: map[string]bool{}}
}

// setDown makes the store reset all connections of a listener, or serve them again.
func (s *store) setDown(listener string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[listener] = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown(listener string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[listener]
}

func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, address) }))
	}()
	return nil
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, listener string) {
	if s.isDown(listener) {
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, status := parts[1], "", len(parts) == 4 && parts[3] == "status"
	if len(parts) > 2 {
		name = parts[2]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind, listener)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		var in object
		if json.Unmarshal(raw, &in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Method == http.MethodPost {
			name = in.Metadata.Name
		}
		code, o := s.write(kind, name, in, r.Method == http.MethodPost, status)
		reply(w, code, o)
	case r.Method == http.MethodDelete:
		rev, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		code, o := s.remove(kind, name, rev)
		reply(w, code, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// record stores a change. The caller holds mu.
func (s *store) record(kind string, o object, removed bool) {
	s.history = append(s.history, event{Removed: removed, Object: o, kind: kind, rev: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(kind, name string, in object, create, status bool) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case create && exists, !create && exists && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case !create && !exists:
		return http.StatusNotFound, object{}
	}
	next := old
	if create {
		next = object{Metadata: metadata{Name: name, Created: s.revision + 1}, Spec: in.Spec}
	} else if status {
		next.Status = in.Status
	} else {
		next.Spec, next.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	if exists && bytes.Equal(next.Spec, old.Spec) && bytes.Equal(next.Status, old.Status) {
		return http.StatusOK, old
	}
	s.revision++
	next.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = next
	s.record(kind, next, false)
	return http.StatusOK, next
}

// put writes an object whether it exists or not, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	_, exists := s.objects[kind][name]
	s.mu.Unlock()
	s.write(kind, name, object{Metadata: metadata{Name: name}, Spec: raw}, !exists, false)
}

func (s *store) remove(kind, name string, rev uint64) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return http.StatusNotFound, object{}
	}
	if rev != 0 && rev != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(kind, o, true)
	return http.StatusOK, o
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	after := r.URL.Query().Get("afterRev")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > page
	if more {
		names = names[:page]
	}
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	rev := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, listener string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > since {
				events = append(events, e)
			}
		}
		rev, changed, down := s.revision, s.changed, s.down[listener]
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-until:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
