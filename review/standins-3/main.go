// Command standins runs the stand-ins of one case and the project's entries, plays the case
// and says whether the rule was broken.
//
// usage: standins CASE RECORD COMMAND
//
// COMMAND is the run line of deploy/system.toml. The exit code is 1 if the rule was broken, 0
// if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// play is one case: it prepares the stand-ins, and then plays with the entries running.
type play struct {
	entries int
	prepare func(w *world)
	run     func(w *world, trouble bool) error
}

var plays = map[string]play{
	"kinds":   {entries: 3, prepare: prepareKinds, run: runKinds},
	"hold":    {entries: 3, prepare: prepareHold, run: runHold},
	"gone":    {entries: 3, prepare: prepareGone, run: runGone},
	"restart": {entries: 3, prepare: prepareRestart, run: runRestart},
	"orphan":  {entries: 3, prepare: prepareOrphan, run: runOrphan},
	"noted":   {entries: 3, prepare: prepareNoted, run: runNoted},
	"advice":  {entries: 3, prepare: prepareAdvice, run: runAdvice},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD COMMAND")
		os.Exit(2)
	}
	p, known := plays[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case: "+os.Args[1])
		os.Exit(2)
	}
	os.Exit(playCase(p, os.Args[2], os.Args[3]))
}

func playCase(p play, name, program string) int {
	r, err := newRecord(name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir := os.Getenv("STANDINS_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "standins-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("trouble: %v", trouble)
	w := newWorld(r)
	p.prepare(w)
	for _, n := range w.runners {
		if err := n.start(n.kind); err != nil {
			return fail(r, err)
		}
	}
	defer w.killEntries()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(longestPlay):
		}
		r.line("the case couldn't run: it took too long, or was ended")
		w.killEntries()
		os.Exit(2)
	}()
	for i := range p.entries {
		e, err := newEntry(w, dir, fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			return fail(r, err)
		}
		w.addEntry(e)
		if err := e.start(program); err != nil {
			return fail(r, err)
		}
	}
	for _, e := range w.entries {
		if !e.awaitReady(15 * time.Second) {
			return fail(r, fmt.Errorf("%s is not ready", e.name))
		}
	}
	time.Sleep(4 * time.Second) // the pools have owners by then
	w.program = program
	if err := p.run(w, trouble); err != nil {
		return fail(r, err)
	}
	w.mu.Lock()
	breaks := w.breaks
	w.mu.Unlock()
	if len(breaks) > 0 {
		r.line("result: broken %d times", len(breaks))
		fmt.Printf("the rule was broken %d times, first: %s\n", len(breaks), breaks[0])
		return 1
	}
	r.line("result: held")
	fmt.Println("the rule held")
	return 0
}

// longestPlay is below the time that a script may run, with room for its end.
const longestPlay = 115 * time.Second

func fail(r *record, err error) int {
	r.line("the case couldn't run: %v", err)
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	return 2
}

// configure writes the operator's configuration: routes to queues of one service.
func (w *world) configure(service string, routes ...map[string]any) {
	for i, r := range routes {
		r["name"], r["host"], r["kind"], r["service"] = fmt.Sprintf("r-%d", i+1), host, "unsafe", service
		r["timeout_ms"], r["target_latency_ms"], r["max_attempts"], r["stretch_factor"] = 3000, 600, 4, 1.6
	}
	services, seen := []map[string]any{}, map[string]bool{}
	for _, n := range w.runners {
		if !seen[n.service] {
			seen[n.service] = true
			services = append(services, map[string]any{
				"name": n.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": n.guards, "standby": false,
			})
		}
	}
	w.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// finishTime is finish_s of the small site.
const finishTime = 14 * time.Second
