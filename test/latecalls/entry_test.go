package latecalls

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

// repository is the root of the repository.
const repository = "../.."

// entry is one process of the system. mu guards cmd and exited.
type entry struct {
	name      string
	callers   string // address
	readiness string
	settings  string // file
	log       string // file
	record    *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// section is a part of the template that is rendered only if its value is present.
var section = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}\n(.*?)\{\{/[a-z0-9_.]+\}\}\n`)

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// newEntry writes the settings of an entry to dir, from the template of the deploy file.
func newEntry(name, dir, store string, r *record) *entry {
	e := &entry{
		name: name, callers: freeAddress(), readiness: freeAddress(), settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"), record: r,
	}
	values := map[string]string{
		"node": name, "zone": "zone-1", "ip": host, "port_range.0": strconv.Itoa(freePort()), "listen_addrs.ingress": e.callers, "listen_addrs.readiness": e.readiness,
		"platform.address": store, "cloud.address": "", "advice": "", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4096", "bounds.max_hold_ms": strconv.FormatInt(maxRunLease.Milliseconds(), 10),
		"bounds.stop_ms": strconv.FormatInt(maxStopTime.Milliseconds(), 10), "bounds.lease_ms": "3000", "bounds.grace_s": "6", "bounds.status_s": "120", "platform.min_ttl_ms": "1000", "bounds.spread_factor": "1.5",
	}
	template, err := os.ReadFile(filepath.Join(repository, "deploy", "settings.yaml.tmpl"))
	Expect(err).NotTo(HaveOccurred())
	template = section.ReplaceAllFunc(template, func(p []byte) []byte {
		part := section.FindSubmatch(p)
		if _, present := values[string(part[1])]; present {
			return part[2]
		}
		return nil
	})
	settings := placeholder.ReplaceAllFunc(template, func(p []byte) []byte {
		value, known := values[string(p[2:len(p)-2])]
		Expect(known).To(BeTrue(), "the template has the placeholder %s", p)
		return []byte(value)
	})
	Expect(os.WriteFile(e.settings, settings, 0o600)).To(Succeed())
	return e
}

// start starts the process, as the deploy file does.
func (e *entry) start() {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(binary, "job-entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PERSIMMONBAY_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(cmd.Start()).To(Succeed())
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ends by a signal
		_ = log.Close()
		close(exited)
	}()
	e.record.note("%s is started", e.name)
}

// signal sends a signal to the process and returns a channel that is closed once it has
// exited.
func (e *entry) signal(s syscall.Signal) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.note("%s gets the signal %v", e.name, s)
	_ = e.cmd.Process.Signal(s) // it may have exited
	return e.exited
}

// disrupt does what d stands for, and has the entry at work again after that.
func (e *entry) disrupt(d disruption, away time.Duration) {
	switch d {
	case kills:
		<-e.signal(syscall.SIGKILL)
		time.Sleep(away)
		e.start()
	case terminates:
		<-e.signal(syscall.SIGTERM)
		time.Sleep(away)
		e.start()
	case stops:
		e.signal(syscall.SIGSTOP)
		time.Sleep(away)
		e.signal(syscall.SIGCONT)
	}
}

func (e *entry) ready() bool {
	resp, err := http.Get("http://" + e.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// post sends a caller's request and returns the status of the response; 0 if there is none.
func (e *entry) post(path string, body []byte, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host, r.Close = queueHost, true
	r.Header.Set("Content-Type", contentType)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
