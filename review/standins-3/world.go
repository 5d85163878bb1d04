package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"sync"
)

// world holds all stand-ins of a case. mu guards jobs, ends and breaks.
type world struct {
	record  *record
	store   *metaStore
	gangs   *gangs
	advice  *adviceService
	runners []*runner
	entries []*entry
	started func(n *runner, task string, run *taskRun)      // called with the runner's lock held
	isLate  func(n *runner, path string, b *orderBody) bool // whether a call gets no answer and is carried out late; called with the runner's lock held
	cloud   string
	program string // the run line of deploy/system.toml
	address string // of the store

	mu     sync.Mutex
	jobs   map[string]jobBody
	ends   map[string]int  // runs that ended as done, by task
	known  map[string]bool // tasks with such an end that was taken note of
	breaks []string
}

func newWorld(r *record) *world {
	w := &world{record: r, store: newMetaStore(), gangs: &gangs{runs: map[gangRun]*gangState{}}, jobs: map[string]jobBody{}, ends: map[string]int{}, known: map[string]bool{}}
	w.address = serve(w.store.handler())
	w.cloud = serve(w.machines())
	return w
}

// serve serves a handler on a free port and returns its address.
func serve(h http.Handler) string {
	l := listen()
	go func() { _ = http.Serve(l, h) }() // until the process ends
	return l.Addr().String()
}

// machines serves the list of machines. No pool can take one from another here, so no order
// for a machine is expected.
func (w *world) machines() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/machines", func(rw http.ResponseWriter, _ *http.Request) {
		rows := []map[string]any{}
		for _, n := range w.runners {
			n.mu.Lock()
			row := map[string]any{
				"machine": n.machine, "pool": n.service, "state": "up", "zone": "z1", "labels": []string{n.kind.label, n.rack},
				"capacity": map[string]any{"cpu": n.kind.cpu, "mem_mb": n.kind.memMB, "gpu": 0}, "id": n.id,
			}
			if !n.up {
				row["state"], row["id"] = "down", ""
			}
			n.mu.Unlock()
			rows = append(rows, row)
		}
		reply(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
	})
	refuse := func(rw http.ResponseWriter, r *http.Request) {
		w.record.line("order for a machine, refused: %s", r.URL.Path)
		rw.WriteHeader(http.StatusBadRequest)
	}
	m.HandleFunc("POST /-/machine-move", refuse)
	m.HandleFunc("POST /-/machine-upkeep", refuse)
	return m
}

func (w *world) addEntry(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, e)
}

// killEntries ends all entries.
func (w *world) killEntries() {
	w.mu.Lock()
	entries := w.entries
	w.mu.Unlock()
	for _, e := range entries {
		e.kill()
	}
}

// owner returns the entry that owns the pool of a service, by what lies in the store; nil: none.
func (w *world) owner(service string) *entry {
	w.store.mu.Lock()
	value, err := base64.StdEncoding.DecodeString(w.store.items["fleet/owner/"+service].Value)
	w.store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		if err == nil && e.name == string(value) {
			return e
		}
	}
	return nil
}

func (w *world) runner(id string) *runner {
	for _, n := range w.runners {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) job(id string) (jobBody, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, known := w.jobs[id]
	return job, known
}

func (w *world) done(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[task]++
}

// noted records that an end was taken note of: a call's observed has reached it.
func (w *world) noted(task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if how == "done" {
		w.known[task] = true
	}
}

func (w *world) isNoted(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known[task]
}

// broke records that a rule was broken.
func (w *world) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record.line("RULE BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = append(w.breaks, text)
}
