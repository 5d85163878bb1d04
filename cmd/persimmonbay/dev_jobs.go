package main

import (
	"context"
	"fmt"
	"net"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/jobentry"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/telemetry"
	"persimmonbay/platform"
)

// Composition of the embedded site of the users' platform.
const (
	devJobWorkers = 3
	devJobService = "tags"
	devJob        = "5c0e7a21d94b36f8"
)

// devJobs is the embedded site of the users' platform: a stand-in store, stand-in
// workers and an entry that serves jobs.
type devJobs struct {
	entry   *jobentry.Entry
	callers string
}

// startDevJobs starts the site. Its stand-ins run until the context standins ends,
// its entry until ctx ends.
func startDevJobs(ctx, standins context.Context, group *errgroup.Group, c console, logLevel string, clock clockwork.Clock) (*devJobs, error) {
	store := platform.NewStandinStore()
	if err := store.StartTrial(devJobService); err != nil {
		return nil, err
	}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	group.Go(func() error { return serveHTTP(standins, storeListener, store.Handler()) })
	for i := range devJobWorkers {
		w := platform.NewStandinWorker(fmt.Sprintf("job-worker-%d", i+1))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if err := store.ListWorker(w, devJobService, listener.Addr().String()); err != nil {
			return nil, err
		}
		group.Go(func() error { return serveHTTP(standins, listener, w.Handler()) })
	}
	listen, err := devJobListen()
	if err != nil {
		return nil, err
	}
	log, err := telemetry.NewLogger(c.err, logLevel)
	if err != nil {
		return nil, err
	}
	e, err := jobentry.New(settings.JobEntry{
		ID: "job-entry-1", AvailabilityZone: "az-1", Listen: listen, Timing: settings.DefaultJobTiming(), LogLevel: logLevel,
		Platform: settings.JobPlatform{Store: storeListener.Addr().String(), Codec: "json"},
	}, clock, log)
	if err != nil {
		return nil, err
	}
	group.Go(func() error { return e.Run(ctx) })
	return &devJobs{entry: e, callers: listen.Callers}, nil
}

// devJobListen returns free addresses. The entry publishes its addresses, so they
// must be known before it starts.
func devJobListen() (settings.JobListen, error) {
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return settings.JobListen{}, err
		}
		defer l.Close() // only after all are chosen, so that they differ
		addresses[i] = l.Addr().String()
	}
	return settings.JobListen{Callers: addresses[0], Peers: addresses[1], Readiness: addresses[2]}, nil
}

// print prints sample requests that submit a job and read its state.
func (d *devJobs) print(c console) {
	submit, read := platform.TrialCalls(d.callers, devJob)
	fmt.Fprintf(c.out, "\njobs on the users' platform, submit and read:\n     %s\n     %s\n", submit, read)
}
