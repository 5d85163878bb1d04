package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// entry is one process of the project.
type entry struct {
	world     *world
	name      string
	callers   string
	readiness string
	command   *exec.Cmd
	settings  string
	log       *os.File
	mu        sync.Mutex // guards command
}

// settingsText is deploy/settings.yaml.tmpl, filled in with the values of a small site.
const settingsText = `id: %s
availabilityZone: z1
listen:
  callers: %s
  peers: %s
  readiness: %s
platform:
  store: %s
  machines: %s
  advice: %s
  codec: cbor
machine:
  cores: 0.4
  memoryMB: 284
  descriptors: 4100
placement:
  spreadFactor: 1.5
timing:
  maxHold: 6000ms
  stop: 400ms
  holderPause: 3000ms
  grace: 6s
  retention: 120s
  minLease: 1000ms
logLevel: info
`

func newEntry(w *world, dir, name string) (*entry, error) {
	e := &entry{world: w, name: name, callers: freeAddress(), readiness: freeAddress(), settings: filepath.Join(dir, name+".yaml")}
	advice := freeAddress() // nobody is there in a case without advice
	if w.advice != nil {
		advice = serve(w.advice.handler(name))
	}
	text := fmt.Sprintf(settingsText, name, e.callers, freeAddress(), e.readiness, w.address, w.cloud, advice)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	e.log, err = os.Create(filepath.Join(dir, name+".log"))
	return e, err
}

// start starts the process as deploy/system.toml does.
func (e *entry) start(program string) error {
	words := strings.Fields(program)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.command = exec.Command(words[0], words[1:]...)
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERSIMMONBAY_BOOT=" + e.settings}
	e.command.Stderr = e.log
	e.command.Stdout = e.log
	e.world.record.line("entry %s starts", e.name)
	return e.command.Start()
}

// kill ends the process at once.
func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil || e.command.Process == nil {
		return
	}
	_ = e.command.Process.Kill() // it may have ended already
	_ = e.command.Wait()
	e.command = nil
	e.world.record.line("entry %s killed", e.name)
}

// awaitReady waits until the process is ready.
func (e *entry) awaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
