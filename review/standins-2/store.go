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

// store is the platform's metadata store. It keeps the history of the last 20 seconds.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]*storeItem
	log       []*storeItem
	compacted int64 // watches after an earlier revision get 410
	changed   chan struct{}
	leases    map[int64]*storeLease
}

const (
	historyTime = 20 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
)

func newStore() *store {
	s := &store{revision: 100, items: map[string]*storeItem{}, changed: make(chan struct{}), leases: map[int64]*storeLease{}}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.tick()
		}
	}()
	return s
}

// tick ends leases and drops old history.
func (s *store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
	for len(s.log) > 0 && now.Sub(s.log[0].at) > historyTime {
		s.compacted = s.log[0].revision
		s.log = s.log[1:]
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var remove []string
	for k, i := range s.items {
		if i.lease == id {
			remove = append(remove, k)
		}
	}
	if len(remove) > 0 {
		s.apply(nil, remove)
	}
}

// apply changes the store. The caller holds mu.
func (s *store) apply(writes []storeItem, remove []string) int64 {
	s.revision++
	now := time.Now()
	for _, w := range writes {
		item := &storeItem{key: w.key, value: w.value, lease: w.lease, revision: s.revision, created: s.revision, at: now}
		if old := s.items[w.key]; old != nil {
			item.created = old.created
		}
		s.items[w.key] = item
		s.log = append(s.log, item)
	}
	for _, k := range remove {
		if s.items[k] != nil {
			delete(s.items, k)
			s.log = append(s.log, &storeItem{key: k, revision: s.revision, deleted: true, at: now})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeItem{{key: key, value: base64.StdEncoding.EncodeToString(encodeCBOR(v))}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

// text returns the decoded bytes of a key's value.
func (s *store) text(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[key]
	if i == nil {
		return ""
	}
	data, _ := base64.StdEncoding.DecodeString(i.value)
	return string(data)
}

// handler returns the store's HTTP interface.
func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/kv-key", s.get)
	m.HandleFunc("GET /-/kv-range", s.page)
	m.HandleFunc("GET /-/kv-watch", s.watch)
	m.HandleFunc("POST /-/kv-txn", s.txn)
	m.HandleFunc("POST /-/kv-lease", s.grant)
	m.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	return m
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if i == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o := i.object()
	o["store_revision"] = revision
	respond(w, http.StatusOK, o)
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := list{}, 0, false
	for _, k := range keys {
		if len(items) == pageItems || len(items) > 0 && size+len(s.items[k].value) > pageBytes {
			more = true
			break
		}
		size += len(s.items[k].value)
		items = append(items, s.items[k].object())
	}
	revision := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, object{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := list{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > after })
		for _, e := range s.log[first:] {
			if strings.HasPrefix(e.key, q.Get("prefix")) {
				events = append(events, e.object())
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			respond(w, http.StatusOK, object{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	b := body(r)
	var writes []storeItem
	var remove []string
	for _, row := range b.rows("writes") {
		f := fields(row.(object))
		writes = append(writes, storeItem{key: f.text("key"), value: f.text("value"), lease: f.number("lease")})
	}
	for _, k := range b.rows("remove") {
		remove = append(remove, k.(string))
	}
	for _, i := range writes {
		if strings.HasPrefix(i.key, "op/") || strings.HasPrefix(i.key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, list{}
	for _, row := range b.rows("expected") {
		f := fields(row.(object))
		i := s.items[f.text("key")]
		if i == nil {
			met = met && f.number("revision") == 0
			continue
		}
		met = met && f.number("revision") == i.revision
		current = append(current, i.object())
	}
	if !met {
		respond(w, http.StatusPreconditionFailed, object{"items": current})
		return
	}
	for _, i := range writes {
		if i.lease != 0 && s.leases[i.lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	respond(w, http.StatusOK, object{"revision": s.apply(writes, remove)})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	ttl := body(r).number("ttl_ms")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &storeLease{ttl: d, end: time.Now().Add(d)}
	respond(w, http.StatusOK, object{"lease": id, "ttl_ms": ttl})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, object{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	respond(w, http.StatusOK, object{})
}
