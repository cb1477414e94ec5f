package main

import (
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

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	at      uint64
	kind    string
	// recorded is when the change was made.
	recorded time.Time
}

// store is the platform's metadata store in memory.
type store struct {
	address string
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []event
	changed chan struct{}
	// gone is the revision up to which the history is discarded.
	gone   uint64
	server *http.Server
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rev: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) record(kind string, o object, removed bool) {
	s.history = append(s.history, event{Removed: removed, Object: o, at: s.rev, kind: kind, recorded: time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].recorded) > historyTime {
		s.gone, s.history = s.history[0].at, s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the spec of an object without a condition, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, func(o *object) { o.Spec = raw })
}

func (s *store) set(kind, name string, change func(*object)) object {
	all := s.kinds[kind]
	if all == nil {
		all = map[string]object{}
		s.kinds[kind] = all
	}
	o, known := all[name]
	before, _ := json.Marshal(o)
	change(&o)
	after, _ := json.Marshal(o)
	if known && string(before) == string(after) {
		return o
	}
	s.rev++
	o.Metadata.Name, o.Metadata.Revision = name, s.rev
	if !known {
		o.Metadata.Created = s.rev
	}
	all[name] = o
	s.record(kind, o, false)
	return o
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	if !known {
		return false
	}
	delete(s.kinds[kind], name)
	s.rev++
	s.record(kind, o, true)
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][parts[1]]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		if !s.remove(kind, parts[1]) {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		s.write(w, r, kind, parts)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.gone {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string, parts []string) {
	raw, _ := io.ReadAll(r.Body)
	var in object
	if json.Unmarshal(raw, &in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	name := in.Metadata.Name
	if r.Method == http.MethodPut {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && !known:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodPut && in.Metadata.Revision > 0 && in.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && len(parts) > 2:
		reply(w, http.StatusOK, s.set(kind, name, func(o *object) { o.Status = in.Status }))
	default:
		reply(w, http.StatusOK, s.set(kind, name, func(o *object) { o.Spec, o.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers }))
	}
}
