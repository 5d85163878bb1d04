package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// entry is one process of the system, on a machine of its own: it has its own links to
// the platform.
type entry struct {
	name      string
	dir       string
	file      string
	callers   string
	readiness string
	store     *link
	cloud     *link
	cmd       *exec.Cmd
}

var processes struct {
	sync.Mutex
	list []*exec.Cmd
	dir  string
}

// stopAll ends the processes that this run started and removes its folder.
func stopAll() {
	processes.Lock()
	defer processes.Unlock()
	for _, cmd := range processes.list {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	}
	if processes.dir != "" {
		_ = os.RemoveAll(processes.dir)
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// newEntry writes the settings of an entry from the deploy file's template. handlers are
// the platform's store and, if it is not nil, its API of machines.
func (w *world) newEntry(name string, machines http.Handler) *entry {
	e := &entry{name: name, callers: freeAddress(), readiness: freeAddress()}
	storeAddress, cloudAddress := "", ""
	e.store, storeAddress = newLink(listen(w.store.handler(name)))
	if machines != nil {
		e.cloud, cloudAddress = newLink(listen(machines))
	}
	peers := freeAddress()
	_, port, err := net.SplitHostPort(peers)
	check(err)
	values := map[string]string{
		"node": name, "zone": "z1", "ip": entryHost, "port_range.0": port, "listen_addrs.ingress": e.callers, "listen_addrs.readiness": e.readiness,
		"platform.address": storeAddress, "cloud.address": cloudAddress, "advice": "", "limits.cpu_share": "0.4", "limits.memory_mb": "284",
		"bounds.max_hold_ms": "6000", "bounds.stop_ms": "400", "bounds.lease_ms": "3000", "bounds.grace_s": "6", "bounds.status_s": "120", "platform.min_ttl_ms": "1000",
	}
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	check(err)
	settings := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		value, ok := values[p[2:len(p)-2]]
		if !ok {
			cannotRun("the template has an unknown placeholder %s", p)
		}
		return value
	})
	processes.Lock()
	if processes.dir == "" {
		processes.dir, err = os.MkdirTemp("", "review")
		check(err)
	}
	e.dir = processes.dir
	processes.Unlock()
	e.file = filepath.Join(e.dir, name+".yaml")
	check(os.WriteFile(e.file, []byte(settings), 0o644))
	return e
}

// start starts the entry's process with the command of the deploy file.
func (e *entry) start() {
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	e.cmd = exec.Command("target/persimmonbay", "job-entry")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PERSIMMONBAY_BOOT=" + e.file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	check(e.cmd.Start())
	processes.Lock()
	processes.list = append(processes.list, e.cmd)
	processes.Unlock()
	note("entry %s started", e.name)
}

// awaitReady waits until the entry reports itself ready.
func (e *entry) awaitReady() {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("entry %s is not ready", e.name)
}

// setCut cuts the entry's machine off from the platform, or ends that.
func (e *entry) setCut(cut bool) {
	for _, l := range []*link{e.store, e.cloud} {
		switch {
		case l == nil:
		case cut:
			l.cut()
		default:
			l.heal()
		}
	}
	note("%s is cut off from the platform: %v", e.name, cut)
}
