package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	migrate     = 1500 * time.Millisecond // bounds.migrate_s
	maintenance = 2000 * time.Millisecond // bounds.maintenance_s
)

// cloud is a stand-in of the platform's API of machines. It does not check fencing tokens,
// as on the users' sites (bounds.fencing is false).
type cloud struct {
	world    *world
	mu       sync.Mutex
	machines []*machine
	runners  int
	orders   []machineOrder
	ended    []string // tasks that upkeep has ended
}

func (c *cloud) machine(id string) *machine {
	for _, m := range c.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// add adds a machine with a runner.
func (c *cloud) add(id, pool, rack string) {
	m := &machine{id: id, pool: pool, state: "up", rack: rack}
	c.machines = append(c.machines, m)
	c.begin(m)
}

func (c *cloud) begin(m *machine) {
	c.runners++
	m.runner = c.world.addRunner(fmt.Sprintf("i-%03d", c.runners), m.pool, m.id, m.rack, "", 32000)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, raw *http.Request) {
	r := readRequest(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path == "/-/machines" {
		list := []any{}
		for _, m := range c.machines {
			id := ""
			if m.runner != nil {
				id = m.runner.id
			}
			list = append(list, object{"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []any{"a", m.rack}, "capacity": object{"cpu": 32000, "mem_mb": 131072, "gpu": 0}, "id": id})
		}
		reply(w, http.StatusOK, object{"machines": list, "next_token": nil})
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	order := machineOrder{at: time.Now(), machine: r.text("machine"), holder: r.Header.Get("X-Lease-Holder"), token: token}
	m := c.machine(order.machine)
	switch r.URL.Path {
	case "/-/machine-move":
		order.what = "move to " + r.text("pool")
		c.orders = append(c.orders, order)
		was := "no pool"
		if m != nil {
			was = m.pool
		}
		status := c.move(m, r.text("pool"))
		note("machines: %s orders %s, which is in %s: %s (token %d): %d", order.holder, order.machine, was, order.what, token, status)
		if status == http.StatusConflict {
			reply(w, status, object{"reason": "busy"})
			return
		}
		reply(w, status, object{})
	case "/-/machine-upkeep":
		order.what = "upkeep"
		c.orders = append(c.orders, order)
		status, running := c.upkeep(m, r.number("wave"))
		note("machines: %s orders %s, which is in %s: upkeep for wave %d (token %d): %d; ended there: %v", order.holder, order.machine, m.pool, r.number("wave"), token, status, running)
		if status == http.StatusConflict {
			reply(w, status, object{"reason": "busy"})
			return
		}
		reply(w, status, object{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// upkeep takes a machine down. It returns the tasks that were at work there.
func (c *cloud) upkeep(m *machine, wave int64) (status int, running []string) {
	switch {
	case m == nil:
		return http.StatusBadRequest, nil
	case m.upkeepOf == wave:
		return http.StatusOK, nil
	case m.state != "up":
		return http.StatusConflict, nil
	}
	m.upkeepOf, m.state = wave, "upkeep"
	if old := m.runner; old != nil {
		running = old.atWork()
		c.ended = append(c.ended, running...)
		old.crash()
		c.world.store.drop("servers/" + old.id)
		m.runner = nil
	}
	time.AfterFunc(maintenance, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		c.begin(m)
	})
	return http.StatusOK, running
}

func (c *cloud) move(m *machine, pool string) int {
	switch {
	case m == nil:
		return http.StatusBadRequest
	case m.pool == pool:
		return http.StatusOK
	case m.state != "up":
		return http.StatusConflict
	}
	if old := m.runner; old != nil {
		old.crash()
		c.world.store.drop("servers/" + old.id)
		m.runner = nil
	}
	m.pool, m.state, m.movedAt = pool, "moving", time.Now()
	time.AfterFunc(migrate, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		c.begin(m)
	})
	return http.StatusOK
}

// staleOrder returns the first order with a lower token than an earlier one for the same
// machine, and that earlier one.
func (c *cloud) staleOrder() (stale, earlier machineOrder, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := map[string]machineOrder{}
	for _, o := range c.orders {
		if last, ok := highest[o.machine]; ok && o.token < last.token {
			return o, last, true
		}
		if o.token > highest[o.machine].token {
			highest[o.machine] = o
		}
	}
	return machineOrder{}, machineOrder{}, false
}
