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

// store is a stand-in of the platform's metadata store. hook, if set, is asked about each
// transaction: it returns true if the answer is lost, and how long after its arrival the
// transaction is carried out then.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]object
	leases   map[int64]*lease
	nextID   int64
	events   []object
	changed  chan struct{}
	down     bool
	away     string             // the entry whose calls get no answer; empty: none
	renewed  func(entry string) // called after each renewal of a lease; may be nil
	hook     func(entry string, r *request) (lost bool, late time.Duration)
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]object{}, leases: map[int64]*lease{}, nextID: 1000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item["lease"] == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.announce()
}

func (s *store) remove(key string) {
	delete(s.items, key)
	s.events = append(s.events, object{"key": key, "revision": s.revision, "deleted": true})
}

func (s *store) write(key, value string, lease int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old["created"].(int64)
	}
	item := object{"key": key, "value": value, "revision": s.revision, "created": created, "lease": lease}
	s.items[key] = item
	s.events = append(s.events, item)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown has the store reset all calls and watches; leases run out meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.announce()
}

func (s *store) onRenewal(renewed func(entry string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed = renewed
}

// turnAway has the store answer nothing to one entry from now on, and takes away the keys
// that are attached to its leases. An empty name ends that.
func (s *store) turnAway(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = entry
	var keys []string
	for key, item := range s.items {
		if l := s.leases[item["lease"].(int64)]; l != nil && l.entry == entry {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
	}
	s.announce()
}

func (s *store) turnsAway(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away == entry
}

// owner returns the entry that owns a pool.
func (s *store) owner(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items["fleet/owner/"+service]
	if item == nil {
		return ""
	}
	name, err := base64.StdEncoding.DecodeString(item["value"].(string))
	check(err)
	return string(name)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) setHook(hook func(entry string, r *request) (lost bool, late time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = hook
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, body object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64Of(encode(body)), 0)
	s.announce()
}

// drop removes a key as the platform does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.revision++
		s.remove(key)
		s.announce()
	}
}

// handler returns the store's API for the machine of one entry.
func (s *store) handler(entry string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, raw *http.Request) {
		r := readRequest(raw)
		path := r.URL.Path
		if s.isDown() {
			panic(http.ErrAbortHandler) // its connections are reset
		}
		if s.turnsAway(entry) {
			<-r.Context().Done()
			return
		}
		switch {
		case path == "/-/kv-key":
			s.get(w, r)
		case path == "/-/kv-range":
			s.list(w, r)
		case path == "/-/kv-watch":
			s.watch(w, r, entry)
		case path == "/-/kv-txn":
			s.txn(w, r, entry)
		case path == "/-/kv-lease":
			s.grant(w, r, entry)
		case strings.HasPrefix(path, "/-/kv-keep/"):
			s.renew(w, strings.TrimPrefix(path, "/-/kv-keep/"), entry)
		case strings.HasPrefix(path, "/-/kv-lease-end/"):
			s.revoke(w, strings.TrimPrefix(path, "/-/kv-lease-end/"))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func (s *store) get(w http.ResponseWriter, r *request) {
	s.mu.Lock()
	item, revision := s.items[r.URL.Query().Get("key")], s.revision
	s.mu.Unlock()
	if item == nil {
		reply(w, http.StatusNotFound, object{"store_revision": revision})
		return
	}
	answer := object{"store_revision": revision}
	for k, v := range item {
		answer[k] = v
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) list(w http.ResponseWriter, r *request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []any{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	answer := object{"items": items, "has_more": more, "store_revision": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *store) watch(w http.ResponseWriter, r *request, entry string) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		if s.turnsAway(entry) {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		events := []any{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i]["revision"].(int64) > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e["key"].(string), q.Get("prefix")) {
				events = append(events, e)
			}
		}
		answer, changed := object{"events": events, "store_revision": s.revision}, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *request, entry string) {
	s.mu.Lock()
	hook := s.hook
	s.mu.Unlock()
	if hook != nil {
		if lost, late := hook(entry, r); lost {
			time.AfterFunc(late, func() {
				status, answer := s.commit(r)
				note("store: the write of %s whose answer is lost is carried out, %.1f s late: %d %v", entry, late.Seconds(), status, answer["revision"])
			})
			<-r.Context().Done() // a connection on which an answer is lost returns nothing further
			return
		}
	}
	status, answer := s.commit(r)
	reply(w, status, answer)
}

func rows(v any) []object {
	list, _ := v.([]any)
	var rows []object
	for _, e := range list {
		if m, ok := e.(object); ok {
			rows = append(rows, m)
		}
	}
	return rows
}

func (s *store) commit(r *request) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected, writes := rows(r.body["expected"]), rows(r.body["writes"])
	failed := false
	current := []any{}
	for _, e := range expected {
		key := e["key"].(string)
		revision := int64(0)
		if item := s.items[key]; item != nil {
			revision = item["revision"].(int64)
			current = append(current, item)
		} else {
			current = append(current, object{"key": key, "revision": 0})
		}
		failed = failed || revision != e["revision"].(int64)
	}
	if failed {
		return http.StatusPreconditionFailed, object{"items": current, "store_revision": s.revision}
	}
	for _, e := range writes {
		if id, _ := e["lease"].(int64); id != 0 && s.leases[id] == nil {
			return http.StatusNotFound, object{}
		}
	}
	s.revision++
	for _, e := range writes {
		id, _ := e["lease"].(int64)
		s.write(e["key"].(string), e["value"].(string), id)
	}
	remove, _ := r.body["remove"].([]any)
	for _, key := range remove {
		if s.items[key.(string)] != nil {
			s.remove(key.(string))
		}
	}
	s.announce()
	return http.StatusOK, object{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *request, entry string) {
	ttl := max(r.number("ttl_ms"), 1000)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &lease{entry: entry, ttl: d, ends: time.Now().Add(d)}
	s.mu.Unlock()
	reply(w, http.StatusOK, object{"lease": id, "ttl_ms": ttl})
}

func (s *store) renew(w http.ResponseWriter, name, entry string) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, object{})
		return
	}
	reply(w, http.StatusOK, object{"ttl_ms": l.ttl.Milliseconds()})
	s.mu.Lock()
	renewed := s.renewed
	s.mu.Unlock()
	if renewed != nil {
		renewed(entry)
	}
}

func (s *store) revoke(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, object{})
}
