package main

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// entry is one process of the project, with its own paths to the platform.
type entry struct {
	id        string
	callers   string // address
	readiness string
	settings  string // file
	store     *gate
	dir       string
	process   *exec.Cmd
	exited    chan struct{}
	wroteAt   atomic.Int64 // when it last wrote to the store under a condition, in Unix nanoseconds
}

// repository is the root of the repository.
var repository = func() string {
	dir, err := os.Getwd()
	if err != nil {
		fail("working folder: %v", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			fail("no deploy/system.toml above the working folder")
		}
		dir = filepath.Dir(dir)
	}
}()

// runCommand returns the command of the deploy file.
func runCommand() []string {
	f, err := os.Open(filepath.Join(repository, "deploy", "system.toml"))
	if err != nil {
		fail("deploy file: %v", err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, ok := strings.CutPrefix(strings.TrimSpace(lines.Text()), "run = "); ok {
			command, err := strconv.Unquote(value)
			if err != nil {
				fail("run in the deploy file: %v", err)
			}
			return strings.Fields(command)
		}
	}
	fail("the deploy file has no run")
	return nil
}

// newEntry prepares an entry: it serves the entry's own path to the store, and writes the
// settings from the template of the deploy file.
func newEntry(w *world, id string) *entry {
	e := &entry{id: id, callers: freePort(), readiness: freePort(), store: &gate{}, dir: w.dir}
	storeAddress, _ := serve(e.store.wrap(e.watchWrites(w.store.handler())))
	adviceAddress := freePort()
	if w.advised != nil {
		adviceAddress, _ = serve((&adviser{f: w.advised}).handler())
	}
	template, err := os.ReadFile(filepath.Join(repository, "deploy", "settings.yaml.tmpl"))
	if err != nil {
		fail("settings template: %v", err)
	}
	_, peerPort, _ := strings.Cut(freePort(), ":")
	text := strings.NewReplacer(
		"{{node}}", id, "{{zone}}", "zone-1", "{{listen_addrs.ingress}}", e.callers, "{{ip}}", "127.0.0.1", "{{port_range.0}}", peerPort,
		"{{listen_addrs.readiness}}", e.readiness, "{{platform.address}}", storeAddress, "{{cloud.address}}", w.cloudAddress, "{{advice}}", adviceAddress,
		"{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "284", "{{bounds.max_hold_ms}}", "6000", "{{bounds.stop_ms}}", "400",
		"{{bounds.lease_ms}}", "3000", "{{bounds.grace_s}}", "6", "{{bounds.status_s}}", "120", "{{platform.min_ttl_ms}}", "1000",
	).Replace(string(template))
	e.settings = filepath.Join(w.dir, id+".yaml")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	return e
}

// watchWrites notes when the entry writes to the store under a condition.
func (e *entry) watchWrites(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/kv-txn" {
			e.wroteAt.Store(time.Now().UnixNano())
		}
		h.ServeHTTP(w, r)
	})
}

// lastWriter returns the entry that last wrote to the store under a condition.
func (w *world) lastWriter() *entry {
	last := w.entries[0]
	for _, e := range w.entries {
		if e.wroteAt.Load() > last.wroteAt.Load() {
			last = e
		}
	}
	return last
}

// start starts the process. Its log goes to a file in the temporary folder.
func (e *entry) start() {
	command := runCommand()
	log, err := os.OpenFile(filepath.Join(e.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	c := exec.Command(filepath.Join(repository, command[0]), command[1:]...)
	c.Dir, c.Stdout, c.Stderr = repository, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PERSIMMONBAY_BOOT=" + e.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("start of %s: %v (was the deploy file's build run?)", e.id, err)
	}
	exited := make(chan struct{})
	e.process, e.exited = c, exited
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
	note("entry %s started", e.id)
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	note("%v to entry %s", s, e.id)
	_ = e.process.Process.Signal(s)
}

// awaitReady waits until the entry reports itself as ready.
func (e *entry) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err := http.Get("http://" + e.readiness + "/-/readyz"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
	}
	log, _ := os.ReadFile(filepath.Join(e.dir, e.id+".log"))
	note("log of %s: %s", e.id, log)
	fail("entry %s is not ready after 20 s", e.id)
}
