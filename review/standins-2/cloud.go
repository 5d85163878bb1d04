package main

import (
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// cloud is the platform's machine API, without fencing.
type cloud struct {
	f        *floor
	mu       sync.Mutex
	machines map[string]*machineInfo
	standby  map[string]bool // by pool
	orders   []machineOrderInfo
}

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

func newCloud(f *floor) *cloud {
	return &cloud{f: f, machines: map[string]*machineInfo{}, standby: map[string]bool{}}
}

// add adds a machine that is up, with a runner unless its pool is on standby.
func (c *cloud) add(id, pool, kind, rack string, capacity amounts, guards map[string]bool) {
	m := &machineInfo{id: id, pool: pool, state: "up", kind: kind, rack: rack, capacity: capacity, guards: guards, done: map[int64]bool{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[id] = m
	c.join(m)
}

// join starts a runner on a machine that is up. The caller holds mu.
func (c *cloud) join(m *machineInfo) {
	m.state, m.runner = "up", nil
	if !c.standby[m.pool] {
		m.runner = c.f.addRunner("", m.id, m.pool, m.kind, m.rack, m.capacity, m.guards[m.pool])
	}
}

func (c *cloud) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/machines", c.list)
	m.HandleFunc("POST /-/machine-move", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, true) })
	m.HandleFunc("POST /-/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, false) })
	return m
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	ids := make([]string, 0, len(c.machines))
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	rows := list{}
	for _, id := range ids {
		m := c.machines[id]
		o := object{"machine": m.id, "pool": m.pool, "state": m.state, "zone": "zone-1", "labels": list{m.kind, m.rack}, "capacity": m.capacity.object(), "id": ""}
		if m.runner != nil && m.state == "up" {
			c.f.mu.Lock()
			if m.runner.up {
				o["id"] = m.runner.id
			} else {
				o["state"] = "down"
			}
			c.f.mu.Unlock()
		}
		rows = append(rows, o)
	}
	c.mu.Unlock()
	respond(w, http.StatusOK, object{"machines": rows, "next_token": nil})
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request, move bool) {
	b := body(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[b.text("machine")]
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.orders = append(c.orders, machineOrderInfo{time.Now(), r.Header.Get("X-Lease-Holder"), m.id, r.Header.Get("X-Fencing-Token")})
	note("order for %s by %s, token %s: move %v to %s", m.id, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), move, b.text("pool"))
	if move && m.pool == b.text("pool") || !move && m.done[b.number("wave")] {
		respond(w, http.StatusOK, object{})
		return
	}
	down := false
	if m.runner != nil {
		c.f.mu.Lock()
		down = !m.runner.up || m.runner.draining
		c.f.mu.Unlock()
	}
	if m.state != "up" || down {
		respond(w, http.StatusConflict, object{"reason": "busy"})
		return
	}
	d := upkeepTime
	m.state = "upkeep"
	if move {
		m.state, m.pool, d = "moving", b.text("pool"), moveTime
	} else {
		m.done[b.number("wave")] = true
	}
	if old := m.runner; old != nil {
		c.f.mu.Lock()
		for _, x := range old.runs {
			note("order for %s ends %s", m.id, x.task)
			c.f.ordered(x)
		}
		c.f.mu.Unlock()
		go func() { old.crash(); c.f.w.store.remove("servers/" + old.id) }()
	}
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.join(m)
	})
	respond(w, http.StatusOK, object{})
}

// some returns n machines that are up and have a runner that is not draining.
func (c *cloud) some(n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, m := range c.machines {
		if len(ids) < n && c.steady(m) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// steady reports whether a machine is up with a runner that is not draining. The caller
// holds mu.
func (c *cloud) steady(m *machineInfo) bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return m.state == "up" && m.runner != nil && m.runner.up && !m.runner.draining
}

// retire drains the runner of a machine that is not among except, and takes the machine
// away when the runner has left.
func (c *cloud) retire(except []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.machines {
		if slices.Contains(except, id) || !c.steady(m) || time.Since(m.runner.started) < 5*time.Second {
			continue
		}
		m.runner.leave()
		time.AfterFunc(drainTime+100*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.machines, id)
		})
		return
	}
}

// restart replaces the runner of a machine that crashed by a new one.
func (c *cloud) restart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m.state == "up" {
		c.join(m)
	}
}

// reborn crashes a runner and starts it again under its id, at its address.
func (c *cloud) reborn(old *runner) {
	old.crash()
	time.Sleep(300 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[old.machine]
	if m == nil || m.state != "up" || m.runner != old {
		return
	}
	c.f.mu.Lock()
	r := &runner{
		f: c.f, id: old.id, machine: old.machine, service: old.service, kind: old.kind, rack: old.rack, capacity: old.capacity, guards: old.guards, gate: &gate{}, address: old.address,
		started: time.Now(), born: time.Now().UnixMilli(), clock0: 1000, up: true, runs: map[string]*taskRun{}, over: map[string]int64{}, changed: make(chan struct{}), lose: old.lose,
	}
	c.f.runners[r.id] = r
	c.f.mu.Unlock()
	m.runner = r
	r.server = serveAt(r.address, r.gate.wrap(r.handler()))
	note("runner %s starts again", r.id)
	go r.beat()
}
