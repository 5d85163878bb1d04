package main

import (
	"context"
	"fmt"
	"net"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/fleet"
	standinplatform "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/worker"
)

// devWorkers is the number of workers of the embedded fleet.
const devWorkers = 3

// startDevWorkers starts the stand-in workers of the embedded fleet and lists them
// on the stand-in platform.
func startDevWorkers(ctx context.Context, group *errgroup.Group, p *standinplatform.Server, clock clockwork.Clock) error {
	for i := range devWorkers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.Instances.Put(fleet.Instance{
			ID:               fmt.Sprintf("worker-%d", i+1),
			Kind:             fleet.KindWorker,
			Address:          listener.Addr().String(),
			AvailabilityZone: fmt.Sprintf("az-%d", i%devZones+1),
			Rack:             fmt.Sprintf("rack-%d", i+1),
			State:            fleet.Live,
			Resources:        fleet.Resources{MilliCores: defaultMilliCores, MemoryMB: defaultMemoryMB},
		})
		runner := worker.NewRunner(clock)
		group.Go(func() error { return serveHTTP(ctx, listener, worker.NewServer(runner).Handler()) })
	}
	return nil
}
