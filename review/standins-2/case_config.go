package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	host       = "pule25.example"
	configTime = 2 * time.Second // config_ms
	contact    = 3 * time.Second // contact_ms
)

// configuration returns version of a configuration with the given queues and n more.
func configuration(version int64, n int, prefixes ...string) object {
	routes := list{}
	add := func(name, prefix string) {
		routes = append(routes, object{
			"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 1,
			"service": "lovo22d", "max_attempts": 4, "stretch_factor": 1.6,
		})
	}
	for i, p := range prefixes {
		add(fmt.Sprintf("r-%07d", i), p)
	}
	for i := range n {
		add(fmt.Sprintf("r-x%06d", i), fmt.Sprintf("/bulk%04d/", i))
	}
	service := object{"name": "lovo22d", "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}
	limits := object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	return object{"version": version, "routes": routes, "services": list{service}, "limits": limits}
}

const (
	idleRoutes   = 240  // that no client uses
	moreRoutes   = 1400 // big_config: 1,400 routes more
	cutTime      = 5500 * time.Millisecond
	stormTime    = 2 * time.Second
	stormGap     = 80 * time.Millisecond
	watchedAfter = 8 * time.Second // how long counts are asked for after the machine is in touch again
)

// configAfterCut cuts one entry off from the store while configurations come in quick
// succession, and asks it for counts after the cut.
func configAfterCut(folder string) {
	w := newWorld(folder)
	version := int64(3)
	put := func(prefixes ...string) {
		version += 3
		c := configuration(version, idleRoutes+moreRoutes, prefixes...)
		w.store.put("op/config", c)
		note("version %d acknowledged: %v and %d more routes, %d bytes", version, prefixes, idleRoutes+moreRoutes, len(encodeCBOR(c)))
	}
	w.store.put("op/config", configuration(version, idleRoutes, "/old/"))
	w.startEntries(3)
	put("/old/")
	time.Sleep(configTime + time.Second)
	subject := w.entries[0]
	if trouble {
		note("%s is cut off from the store", subject.id)
		subject.store.cut()
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	for at := time.Duration(0); at < stormTime-stormGap; at += stormGap {
		put("/old/")
		time.Sleep(stormGap)
	}
	put("/new/")
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	subject.store.heal()
	if trouble {
		note("%s reaches the store again", subject.id)
	}
	time.Sleep(contact + 500*time.Millisecond)
	var broken []string
	for end := time.Now().Add(watchedAfter); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, e := range w.entries {
			removed, _ := e.call(http.MethodGet, host, "/old/", nil, 3*time.Second)
			added, _ := e.call(http.MethodGet, host, "/new/", nil, 3*time.Second)
			note("%s: count of the removed queue %d, of the added queue %d", e.id, removed, added)
			if removed == http.StatusOK {
				broken = append(broken, fmt.Sprintf("%s answers for the queue /old/, removed by version %d", e.id, version))
			}
			if added == http.StatusNotFound {
				broken = append(broken, fmt.Sprintf("%s answers 404 for the queue /new/, added by version %d", e.id, version))
			}
		}
	}
	verdict("CONFIG", broken)
}
