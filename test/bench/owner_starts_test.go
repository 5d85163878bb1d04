package bench

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonbay/platform"
)

// Load of a pool: jobs of one step, as many as keep a share of the workers busy.
const (
	ownerTasks       = 8 // of each job, and as many as run on one worker at a time
	ownerTaskTime    = 800 * time.Millisecond
	ownerLoadFor     = 6 * time.Second
	ownerConnections = 64 // of the callers
)

// ownerPool is a pool of stand-in workers, with a stand-in store in this process and
// its owner as a separate process.
type ownerPool struct {
	workers []*platform.StandinWorker
	owner   *exec.Cmd
	callers string // HOST:PORT at which the owner accepts jobs
	client  *http.Client
}

// BenchmarkOwnerStarts shows how many tasks a second one owner starts in a pool, and the
// processor time of each, by the number of workers and the share of the load that they
// can serve.
func BenchmarkOwnerStarts(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "persimmonbay")
	if out, err := exec.Command("go", "build", "-o", binary, "persimmonbay/cmd/persimmonbay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for _, workers := range []int{60, 266} {
		for _, load := range []float64{0.5, 1.5} {
			b.Run(fmt.Sprintf("workers=%d/load=%v", workers, load), func(b *testing.B) {
				for range b.N {
					startOwnerPool(b, binary, workers).measure(b, load)
				}
			})
		}
	}
}

func startOwnerPool(b *testing.B, binary string, workers int) *ownerPool {
	store := platform.NewStandinStore()
	storeServer := httptest.NewServer(store.Handler())
	b.Cleanup(storeServer.Close)
	p := &ownerPool{callers: freeAddress(b), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: ownerConnections, MaxConnsPerHost: ownerConnections}}}
	for i := range workers {
		w := platform.NewStandinWorker(fmt.Sprint("w-", i))
		server := httptest.NewServer(w.Handler())
		b.Cleanup(server.CloseClientConnections)
		if err := store.ListWorker(w, "tags", strings.TrimPrefix(server.URL, "http://")); err != nil {
			b.Fatal(err)
		}
		p.workers = append(p.workers, w)
	}
	if err := store.StartTrial("tags"); err != nil {
		b.Fatal(err)
	}
	ready := freeAddress(b)
	settings := writeFile(b, "owner.yaml", fmt.Sprintf(`id: entry-1
availabilityZone: az-1
listen: {callers: %q, readiness: %q, peers: %q}
platform: {store: %q, codec: json}
machine: {cores: 1, memoryMB: 1024}
logLevel: warn
`, p.callers, ready, freeAddress(b), strings.TrimPrefix(storeServer.URL, "http://")))
	p.owner = exec.Command(binary, "job-entry", "-config", settings)
	if err := p.owner.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = p.owner.Process.Kill()
		_ = p.owner.Wait()
	})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + ready + "/-/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			b.Fatal("the owner is not ready")
		}
	}
	time.Sleep(3 * time.Second) // the owner acquires its pool and polls all workers
	return p
}

func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// measure submits jobs at a steady rate and reports the starts a second and the owner's
// cost of each.
func (p *ownerPool) measure(b *testing.B, load float64) {
	before, err := usageOf(p.owner.Process.Pid)
	if err != nil {
		b.Fatal(err)
	}
	rate := load * float64(len(p.workers)) / ownerTaskTime.Seconds() // jobs a second
	var submitting sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < ownerLoadFor; i++ {
		submitting.Go(func() { p.submit(b, fmt.Sprintf("%016x", 1+i)) })
		time.Sleep(time.Until(began.Add(time.Duration(float64(i+1) / rate * float64(time.Second)))))
	}
	submitting.Wait()
	took := time.Since(began)
	after, err := usageOf(p.owner.Process.Pid)
	if err != nil {
		b.Fatal(err)
	}
	starts := 0
	for _, w := range p.workers {
		for _, n := range w.Started() {
			starts += n
		}
	}
	cost := after.minus(before)
	b.ReportMetric(float64(starts)/took.Seconds(), "starts/s")
	b.ReportMetric(float64(cost.cpu.Microseconds())/float64(starts), "cpu-µs/start")
	b.ReportMetric(cost.cpu.Seconds()/took.Seconds(), "cores")
	b.ReportMetric(float64(cost.read+cost.written)/float64(starts), "bytes/start")
}

// submit submits a job, and fails the benchmark if it is not accepted.
func (p *ownerPool) submit(b *testing.B, id string) {
	body := fmt.Sprintf(`{"spec":"%d","phases":[{"count":%d,"cpu":1000,"mem_mb":100,"estimate_ms":%d}]}`, ownerTaskTime.Milliseconds(), ownerTasks, ownerTaskTime.Milliseconds())
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/checks/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Error(err)
		return
	}
	request.Host = "tags.example"
	response, err := p.client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if answer, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK {
		b.Errorf("job %s: %d %s", id, response.StatusCode, answer)
	}
}
