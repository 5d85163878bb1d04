package test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"persimmonbay/platform"
)

// jobEntrySettings is the format of the settings of a job entry: its addresses for
// callers, readiness and peers, the address of the store, and the log level.
const jobEntrySettings = `id: entry-1
availabilityZone: az-1
listen: {callers: %q, readiness: %q, peers: %q}
platform: {store: %q, codec: json}
machine: {cores: 1, memoryMB: 512}
logLevel: %s
`

var _ = Describe("a job entry whose settings file changes", func() {
	unused := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}

	// A settings file with a tagged scalar for a mapping or with a number for a level is
	// what an operator's editor leaves; SIGHUP reaches hundreds of machines at once.
	It("applies the log level, refuses a damaged file with its line, and keeps its pool and its runs", func() {
		standin := platform.NewStandinStore()
		store := httptest.NewServer(standin.Handler())
		DeferCleanup(store.CloseClientConnections)
		worker := platform.NewStandinWorker("w-1")
		server := httptest.NewServer(worker.Handler())
		DeferCleanup(server.CloseClientConnections)
		Expect(standin.ListWorker(worker, "tags", strings.TrimPrefix(server.URL, "http://"))).To(Succeed())
		Expect(standin.StartTrial("tags")).To(Succeed())
		callers, ready, peers := unused(), unused(), unused()
		file := filepath.Join(GinkgoT().TempDir(), "entry.yaml")
		write := func(content string) { Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed()) }
		settings := func(level string) string {
			return fmt.Sprintf(jobEntrySettings, callers, ready, peers, strings.TrimPrefix(store.URL, "http://"), level)
		}
		write(settings("info"))
		p := start("job-entry", "-config", file)
		Eventually(func() bool {
			response, err := http.Get("http://" + ready + "/-/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, patience).Should(BeTrue())
		request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/checks/00000000000000a1", strings.NewReader(`{"spec":"lasts","phases":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "tags.example"
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(worker.Runs, patience).Should(Equal(2))
		starts := worker.Started()

		hup := func() { Expect(p.session.Command.Process.Signal(syscall.SIGHUP)).To(Succeed()) }
		write(settings("info") + "machine: !a\n")
		hup()
		Eventually(p.session.Err, patience).Should(gbytes.Say(`changed settings file is not valid, nothing is changed.*entry.yaml:\d+`))
		write(settings("loud"))
		hup()
		Eventually(p.session.Err, patience).Should(gbytes.Say(`changed settings file is not valid, nothing is changed.*entry.yaml:6: logLevel`))
		write(settings("debug"))
		hup()
		Eventually(p.session.Err, patience).Should(gbytes.Say(`settings file read again.*"logLevel":"debug"`))
		Consistently(worker.Runs, "2s").Should(Equal(2))
		Expect(worker.Started()).To(Equal(starts))
		Expect(string(p.session.Err.Contents())).NotTo(ContainSubstring(`"msg":"pool lost"`))
		Expect(strings.Count(string(p.session.Err.Contents()), `"msg":"pool loaded"`)).To(Equal(1))
	})
})
