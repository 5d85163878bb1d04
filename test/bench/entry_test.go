// Package bench holds benchmarks, which check no results. Run them with
//
//	go test -run '^$' -bench . ./test/bench
package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/entry"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/load"
	"persimmonbay/internal/settings"
	standinplatform "persimmonbay/internal/standin/platform"
	standinupstream "persimmonbay/internal/standin/upstream"
)

// Load of one phase.
const (
	fullWorkers  = 32
	fullRequests = 40000
	halfRequests = 20000
	halfWorkers  = 64
)

// BenchmarkEntryAgainstDirect sends the same load directly to a stand-in upstream
// and through one entry, all in this process, and prints both results and their
// ratio. CPU and allocations are those of the whole process, so the entry's cost
// is the difference of the two.
func BenchmarkEntryAgainstDirect(b *testing.B) {
	for range b.N {
		ctx, stop := context.WithCancel(context.Background())
		upstream, entryAddress := startOne(ctx, b)
		direct := measure(ctx, "http://"+upstream+"/8812", fullRequests)
		through := measure(ctx, "http://"+entryAddress+"/tags/8812", fullRequests)
		rate := through.result.Throughput() / 2
		directHalf := measureHalf(ctx, "http://"+upstream+"/8812", rate)
		throughHalf := measureHalf(ctx, "http://"+entryAddress+"/tags/8812", rate)
		stop()
		fmt.Printf("full load   direct %s\n            entry  %s\n", direct, through)
		fmt.Printf("half load   %.0f/s: direct p50 %v p99 %v; entry p50 %v p99 %v\n", rate,
			directHalf.Quantile(50), directHalf.Quantile(99), throughHalf.Quantile(50), throughHalf.Quantile(99))
		b.ReportMetric(through.result.Throughput()/direct.result.Throughput(), "throughput-ratio")
		b.ReportMetric(float64((throughHalf.Quantile(50) - directHalf.Quantile(50)).Microseconds()), "added-p50-us")
		b.ReportMetric(float64((throughHalf.Quantile(99) - directHalf.Quantile(99)).Microseconds()), "added-p99-us")
		b.ReportMetric(through.cpuMicros-direct.cpuMicros, "added-cpu-us/req")
		b.ReportMetric(through.allocations-direct.allocations, "added-allocs/req")
	}
}

// measure sends count requests at full load and returns the results and their
// cost.
func measure(ctx context.Context, url string, count int) phase {
	p := plan(url, fullWorkers, count, 0)
	p.Count /= 10
	load.Run(ctx, p) // opens the connections
	p.Count = count
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	result := load.Run(ctx, p)
	cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	return phase{result: result, cpuMicros: float64(cpu.Microseconds()) / float64(p.Count), allocations: float64(after.Mallocs-before.Mallocs) / float64(p.Count)}
}

// measureHalf sends requests at the given rate.
func measureHalf(ctx context.Context, url string, rate float64) load.Result {
	p := plan(url, halfWorkers, halfRequests/10, 0)
	load.Run(ctx, p) // opens the connections
	p.Count, p.Rate = halfRequests, rate
	return load.Run(ctx, p)
}

func plan(url string, workers, count int, rate float64) load.Plan {
	return load.Plan{
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}},
		Senders: workers,
		Rate:    rate,
		Count:   count,
		Request: func(int) (*http.Request, error) {
			r, err := http.NewRequest(http.MethodGet, url, nil)
			if err == nil {
				r.Header.Set("Persimmonbay-Team", "herders")
			}
			return r, err
		},
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startOne starts a platform, one upstream and one entry in this process and
// returns the address of the upstream and the address at which the entry serves
// callers.
func startOne(ctx context.Context, b *testing.B) (upstream, callers string) {
	return startOneWith(ctx, b, standinupstream.Faults{})
}

// startOneWith is startOne with an upstream that injects these faults.
func startOneWith(ctx context.Context, b *testing.B, faults standinupstream.Faults) (upstream, callers string) {
	clock := clockwork.NewRealClock()
	platform := standinplatform.NewServer(clock)
	platformListener := listen(b)
	go func() { _ = http.Serve(platformListener, platform.Handler()) }()
	upstreamListener := listen(b)
	instance := fleet.Instance{ID: "tags-1", Kind: fleet.KindUpstream, Service: "tags", Address: upstreamListener.Addr().String(), AvailabilityZone: "az-1", Rack: "rack-1", State: fleet.Live}
	platform.Instances.Put(instance)
	runner := standinupstream.NewServer(instance, fullWorkers, clock)
	runner.SetFaults(faults)
	go func() { _ = runner.Serve(ctx, upstreamListener) }()
	apply(ctx, b, platform, clock)
	s := settings.DefaultEntry()
	s.ID, s.AvailabilityZone, s.Platform.Address = "entry-1", "az-1", "http://"+platformListener.Addr().String()
	s.Secrets = settings.Secrets{PeerKey: "bench-peer-key-0123", OperatorToken: "bench-operator-token"}
	s.Limits.ShutdownNotice = 0
	e, err := entry.New(s, clock, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = e.Run(ctx) }()
	for e.Ready() != nil || len(e.Instances()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return instance.Address, e.Addresses().Callers
}

// apply applies the configuration generated from the Registry's questionnaire.
func apply(ctx context.Context, b *testing.B, p *standinplatform.Server, clock clockwork.Clock) {
	answers, err := os.ReadFile("../../examples/registry/answers.yaml")
	if err != nil {
		b.Fatal(err)
	}
	questionnaire, err := configfile.ParseQuestionnaire("answers.yaml", answers)
	if err != nil {
		b.Fatal(err)
	}
	source, err := configfile.Render(configuration.Generate(questionnaire))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := configstore.New(p.Store, clock).Apply(ctx, "bench", 0, source); err != nil {
		b.Fatal(err)
	}
}

func listen(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}
