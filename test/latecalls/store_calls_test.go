package latecalls

import (
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// pageItems is the number of items on a page of a range.
const pageItems = 500

// handler returns the HTTP API of the store.
func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/kv-key", s.serveKey)
	m.HandleFunc("GET /-/kv-range", s.serveRange)
	m.HandleFunc("GET /-/kv-watch", s.serveWatch)
	m.HandleFunc("POST /-/kv-txn", s.serveTxn)
	m.HandleFunc("POST /-/kv-lease", s.serveGrant)
	m.HandleFunc("POST /-/kv-keep/{id}", s.serveRenew)
	m.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveRevoke)
	return m
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, revision := s.items[r.URL.Query().Get("key")], s.revision
	s.mu.Unlock()
	if item == nil {
		respond(w, http.StatusNotFound, fields{"store_revision": revision})
		return
	}
	respond(w, http.StatusOK, fields{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": item.Lease, "store_revision": revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []*storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b *storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	respond(w, http.StatusOK, fields{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		events, revision, changed := s.eventsAfter(after, q.Get("prefix"))
		if len(events) > 0 || over {
			respond(w, http.StatusOK, fields{"events": events, "store_revision": revision})
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

func (s *store) eventsAfter(after int64, prefix string) ([]*storeItem, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []*storeItem{}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t storeTxn
	readBody(r, &t)
	status, body := s.commit(&t)
	respond(w, status, body)
}

func (s *store) commit(t *storeTxn) (int, fields) {
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []*storeItem{}
	for _, e := range t.Expected {
		item := s.items[e.Key]
		if item == nil {
			met = met && e.Revision == 0
			continue
		}
		met = met && e.Revision == item.Revision
		current = append(current, item)
	}
	if !met {
		return http.StatusPreconditionFailed, fields{"items": current}
	}
	for _, e := range t.Writes {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			return http.StatusNotFound, fields{}
		}
	}
	s.apply(t)
	return http.StatusOK, fields{"revision": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	readBody(r, &b)
	respond(w, http.StatusOK, fields{"lease": s.grant(time.Duration(b.TTL) * time.Millisecond), "ttl_ms": b.TTL})
}

func (s *store) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	ttl, ok := s.renew(id)
	if !ok {
		respond(w, http.StatusNotFound, fields{})
		return
	}
	respond(w, http.StatusOK, fields{"ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	respond(w, http.StatusOK, fields{})
}
