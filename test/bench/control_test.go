package bench

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	standinplatform "persimmonbay/internal/standin/platform"
)

// idleFor is how long the control work of an idle fleet is observed.
const idleFor = 20 * time.Second

// BenchmarkControlWork prints what the control work of one entry costs while
// no caller asks anything: by the number of entries, each a process of its
// own, and by the number of instances on the platform's list. Bytes are those
// of the TCP streams in both directions, to the platform and to peers; a
// stream between two entries counts for both.
func BenchmarkControlWork(b *testing.B) {
	binary := buildBinary(b)
	for _, size := range []fleetSize{{3, 50}, {7, 50}, {14, 50}, {7, 300}, {7, 910}} {
		b.Run(size.String(), func(b *testing.B) {
			for range b.N {
				report(b, observe(b, binary, size))
			}
		})
	}
}

func observe(b *testing.B, binary string, size fleetSize) controlCost {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	clock := clockwork.NewRealClock()
	platform := standinplatform.NewServer(clock)
	listener := listen(b)
	server := &http.Server{Handler: platform.Handler()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	configured := apply(ctx, b, platform, clock)
	for i, instance := range instanceList(size.instances) {
		instance.Service = configured.Services[i%len(configured.Services)].Name
		platform.Instances.Put(instance)
	}
	var entries []*entryProcess
	for i := range size.entries {
		e := startEntryProcess(b, binary, i, listener.Addr().String())
		defer e.stop()
		entries = append(entries, e)
	}
	awaitAssigned(b, entries[0], size.instances)
	return costOf(b, entries)
}

// awaitAssigned waits until the control work of the start is done: every
// instance has its pool.
func awaitAssigned(b *testing.B, e *entryProcess, instances int) {
	for range 600 {
		if e.assigned() >= instances {
			time.Sleep(idleFor / 4) // what the last change set off settles
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.Fatalf("only %d of %d instances have a pool", e.assigned(), instances)
}

// costOf observes the entries and returns what one of them costs on average.
func costOf(b *testing.B, entries []*entryProcess) controlCost {
	before := total(b, entries)
	start := time.Now()
	time.Sleep(idleFor)
	after := total(b, entries)
	share := time.Since(start).Seconds() * float64(len(entries))
	return controlCost{
		cpuPercent:    100 * (after.cpuSeconds - before.cpuSeconds) / share,
		platformBytes: float64(after.platformBytes-before.platformBytes) / share,
		peerBytes:     2 * float64(after.peerBytes-before.peerBytes) / share,
		platformCalls: float64(after.platformCalls-before.platformCalls) / time.Since(start).Seconds(),
		residentMB:    float64(after.residentKB) / 1024 / float64(len(entries)),
	}
}

func total(b *testing.B, entries []*entryProcess) usage {
	var sum usage
	for _, e := range entries {
		sum = sum.plus(e.usage(b))
	}
	return sum
}

func report(b *testing.B, c controlCost) {
	b.ReportMetric(c.cpuPercent, "%core/entry")
	b.ReportMetric(c.residentMB, "MB/entry")
	b.ReportMetric(c.platformBytes, "platform-B/s/entry")
	b.ReportMetric(c.peerBytes, "peer-B/s/entry")
	b.ReportMetric(c.platformCalls, "platform-calls/s/fleet")
}
