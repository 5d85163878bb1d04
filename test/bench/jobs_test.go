package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/entry"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/operator"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/settings"
	standin "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/worker"
)

// Fleet of the size that the users require, filled with background work, and the
// number of urgent jobs that are timed.
const (
	jobWorkers     = 910
	jobAccelerated = 300 // workers with 4 accelerators each
	jobTeams       = 300
	jobTasks       = 2 * jobWorkers
	urgentJobs     = 30
)

// jobFleet is a platform with workers, and one entry, all in this process.
type jobFleet struct {
	runners map[string]*worker.Runner
	client  *operator.Client
}

// BenchmarkUrgentStart prints the time from the submission of urgent jobs to
// their start on a worker, and of the steps between, while every worker is full
// of background work.
func BenchmarkUrgentStart(b *testing.B) {
	for range b.N {
		ctx, stop := context.WithCancel(context.Background())
		f := startJobFleet(b, ctx)
		fill := time.Now()
		for batch := range jobTasks / 910 {
			f.submit(b, "team-0", fleet.Background, 16000, 910, fmt.Sprintf("fill-%d", batch))
		}
		for f.running() < jobTasks {
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Printf("%d background tasks started in %v\n", jobTasks, time.Since(fill).Round(time.Millisecond))
		var accepted, decided, started []time.Duration
		for range urgentJobs {
			began := time.Now()
			job := f.submit(b, "team-1", fleet.Urgent, 16000, 1, "urgent")[0]
			accepted = append(accepted, time.Since(began))
			j := f.awaitStart(b, job.ID)
			started = append(started, time.Since(began))
			decided = append(decided, j.Attempt.Since.Sub(began))
		}
		for name, all := range map[string][]time.Duration{"submit answered": accepted, "start decided": decided, "task started": started} {
			slices.Sort(all)
			fmt.Printf("%-16s p50 %8v  max %8v\n", name, all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond))
		}
		b.ReportMetric(float64(started[len(started)-1].Milliseconds()), "max-ms")
		stop()
	}
}

// startJobFleet starts the platform and the entry, and waits until the entry
// lists all workers.
func startJobFleet(b *testing.B, ctx context.Context) *jobFleet {
	clock := clockwork.NewRealClock()
	p := standin.NewServer(clock)
	f := &jobFleet{runners: map[string]*worker.Runner{}}
	p.Tasks = standin.NewTasks(clock, p.Instances, func(i fleet.Instance) worker.API { return f.runners[i.ID] })
	for i := range jobWorkers {
		instance := fleet.Instance{ID: fmt.Sprintf("worker-%03d", i), Kind: fleet.KindWorker, State: fleet.Live, AvailabilityZone: fmt.Sprintf("az-%d", i%8),
			Rack: fmt.Sprintf("rack-%d", i/4), Resources: fleet.Resources{MilliCores: 32000, MemoryMB: 131072}}
		if i < jobAccelerated {
			instance.Resources.Accelerators = 4
		}
		f.runners[instance.ID] = worker.NewRunner(clock)
		p.Instances.Put(instance)
	}
	source := largeDocument(b, 50, jobTeams)
	source = append(source, "jobs:\n  workersMayBeAway: 0.05\n  teams:\n"...)
	for i := range 2 {
		source = append(source, fmt.Sprintf("    - team: team-%d\n      topClass: urgent\n      quota: {milliCores: 40000000, memoryMB: 200000000, accelerators: 1200}\n", i)...)
	}
	if _, err := configstore.New(p.Store, clock).Apply(ctx, "bench", 0, source); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = http.Serve(listener, p.Handler()) }()
	s := settings.DefaultEntry()
	s.ID, s.AvailabilityZone, s.Platform.Address = "entry-1", "az-1", "http://"+listener.Addr().String()
	s.Secrets = settings.Secrets{PeerKey: "bench-peer-key-0123456", OperatorToken: "bench-operator-token"}
	e, err := entry.New(s, clock, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = e.Run(ctx) }()
	f.client = operator.NewClient(e.Addresses().Operators, s.Secrets.OperatorToken)
	var instances []message.InstanceStatus
	for len(instances) < jobWorkers {
		time.Sleep(100 * time.Millisecond)
		_ = f.client.Get(ctx, "/v1/instances", &instances) // fails until the entry serves operators
	}
	return f
}

// submit submits count identical jobs and returns them.
func (f *jobFleet) submit(b *testing.B, team string, class fleet.Class, milliCores, count int, name string) []placement.Job {
	in := message.SubmitRequest{Operator: "bench"}
	for i := range count {
		in.Jobs = append(in.Jobs, message.JobSpec{ID: fmt.Sprintf("%s-%d-%d", name, i, time.Now().UnixNano()), Team: team, Name: name, Class: class,
			Size: fleet.Resources{MilliCores: milliCores, MemoryMB: 16384}, Repeatable: true, Work: `{"runMillis":3600000}`})
	}
	var jobs []placement.Job
	if err := f.client.Send(context.Background(), http.MethodPost, "/v1/jobs", in, &jobs); err != nil {
		b.Fatal(err)
	}
	return jobs
}

// awaitStart waits until a worker has started the job, and returns the job.
func (f *jobFleet) awaitStart(b *testing.B, id string) placement.Job {
	var j placement.Job
	for {
		for _, r := range f.runners {
			if r.Started(id) > 0 {
				if err := f.client.Get(context.Background(), "/v1/jobs/"+id, &j); err != nil {
					b.Fatal(err)
				}
				return j
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// running returns the number of tasks that run on all workers.
func (f *jobFleet) running() int {
	n := 0
	for _, r := range f.runners {
		n += len(r.Load().Running)
	}
	return n
}
