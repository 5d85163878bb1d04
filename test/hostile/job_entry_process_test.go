package hostile

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/platform"
)

// patience bounds the wait for a condition on a busy machine.
const patience = 60 * time.Second

const jobSettings = `id: entry-1
availabilityZone: az-1
listen: {callers: %q, readiness: %q, peers: %q}
platform: {store: %q, codec: json}
machine: {cores: 1, memoryMB: %d, descriptors: %d}
logLevel: info
`

const queueHost = "tags.example"

// jobEntry is a job entry with a store and a worker of its own.
type jobEntry struct {
	*process
	callers, readiness, peers string // addresses
}

func startJobEntry(m machine) *jobEntry {
	GinkgoHelper()
	standin := platform.NewStandinStore()
	store := httptest.NewServer(standin.Handler())
	DeferCleanup(store.CloseClientConnections)
	worker := platform.NewStandinWorker("w-1")
	server := httptest.NewServer(worker.Handler())
	DeferCleanup(server.CloseClientConnections)
	Expect(standin.ListWorker(worker, "tags", strings.TrimPrefix(server.URL, "http://"))).To(Succeed())
	Expect(standin.StartTrial("tags")).To(Succeed())
	e := &jobEntry{callers: unused(), readiness: unused(), peers: unused()}
	file := filepath.Join(GinkgoT().TempDir(), "entry.yaml")
	content := fmt.Sprintf(jobSettings, e.callers, e.readiness, e.peers, strings.TrimPrefix(store.URL, "http://"), m.megabytes, m.descriptors)
	Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
	e.process = start("job-entry", "-config", file)
	Eventually(e.ready, patience).Should(Equal(http.StatusOK))
	return e
}

// unused returns an address on which nothing listens.
func unused() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// ready asks once for readiness and returns the status, 0 without a response.
func (e *jobEntry) ready() int { return ask(http.MethodGet, "http://"+e.readiness+"/-/readyz", "", "") }

// submit hands in one ordinary job and returns the status, 0 without a response.
func (e *jobEntry) submit() int {
	return ask(http.MethodPost, "http://"+e.callers+"/checks/00000000000000a1", queueHost,
		`{"spec":"1","phases":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":1}]}`)
}
