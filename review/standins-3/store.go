package main

import (
	"encoding/base64"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metaStore stands in for the platform's metadata store. mu guards all fields.
type metaStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]itemBody
	log      []map[string]any
	changed  chan struct{}
	leases   map[int64]*leaseState
	muteFrom int64         // while the store forgets its history: watches hear of nothing after this revision; 0: they hear all
	kept     int64         // history up to this revision is forgotten
	cut      chan struct{} // closed when waiting watches are cut
}

func newMetaStore() *metaStore {
	s := &metaStore{revision: 1, items: map[string]itemBody{}, changed: make(chan struct{}), cut: make(chan struct{}), leases: map[int64]*leaseState{}}
	go s.expire()
	return s
}

const (
	storeAnswer = 4 * time.Millisecond // the sheet: 4 ms an answer
	pageItems   = 500
	pageBytes   = 1 << 20
)

func (s *metaStore) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/kv-key", s.get)
	m.HandleFunc("GET /-/kv-range", s.list)
	m.HandleFunc("GET /-/kv-watch", s.watch)
	m.HandleFunc("POST /-/kv-txn", s.txn)
	m.HandleFunc("POST /-/kv-lease", s.grant)
	m.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		m.ServeHTTP(w, r)
	})
}

// expire removes the keys of leases that have ended.
func (s *metaStore) expire() {
	for range time.Tick(5 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *metaStore) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		sort.Strings(keys)
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.notify()
	}
}

// write stores a value under the present revision. The caller holds mu.
func (s *metaStore) write(key, value string, lease int64) {
	item := itemBody{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.log = append(s.log, map[string]any{"key": key, "value": value, "revision": item.Revision, "created": item.Created, "lease": lease})
}

// remove deletes a key under the present revision. The caller holds mu.
func (s *metaStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.log = append(s.log, map[string]any{"key": key, "revision": s.revision, "deleted": true})
	}
}

func (s *metaStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a runner.
func (s *metaStore) put(key string, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(encode(body)), 0)
	s.notify()
}

// drop removes a key for a runner.
func (s *metaStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// compact has the store forget its history: watches hear nothing for a second while changes are
// made, and then are cut.
func (s *metaStore) compact() {
	s.mu.Lock()
	s.muteFrom = s.revision
	s.mu.Unlock()
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muteFrom, s.kept, s.log = 0, s.revision, nil
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *metaStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": item.Lease, "store_revision": revision,
	})
}

func (s *metaStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []itemBody{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *metaStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		if after < s.kept {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		at := sort.Search(len(s.log), func(i int) bool { return s.log[i]["revision"].(int64) > after })
		for _, e := range s.log[at:] {
			if muted := s.muteFrom > 0 && e["revision"].(int64) > s.muteFrom; !muted && strings.HasPrefix(e["key"].(string), prefix) {
				events = append(events, e)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		if s.muteFrom > 0 {
			revision = s.muteFrom
		}
		s.mu.Unlock()
		if len(events) > 0 || waited {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metaStore) txn(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if !readBody(w, r, &b) {
		return
	}
	if len(b.Expected)+len(b.Writes)+len(b.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range b.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current, holds := []itemBody{}, true
	for _, e := range b.Expected {
		item, ok := s.items[e.Key]
		holds = holds && item.Revision == e.Revision
		if ok {
			current = append(current, item)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "store_revision": s.revision})
		return
	}
	s.revision++
	for _, write := range b.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range b.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *metaStore) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readBody(w, r, &b) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[s.revision] = &leaseState{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": b.TTL})
}

func (s *metaStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *metaStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
