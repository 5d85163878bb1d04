package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/standin/worker"
)

// Default resources of a stand-in worker: those of the users' workers.
const (
	defaultMilliCores = 32000
	defaultMemoryMB   = 131072
)

func standinWorkerCommand() command {
	return command{name: "worker", summary: "run a stand-in of a worker; PUT /standin/faults sets its faults", setup: func(flags *flag.FlagSet) commandFunc {
		listen := flags.String("listen", "127.0.0.1:0", "address HOST:PORT; port 0 selects a free port")
		platformURL := flags.String("platform", "", "URL of a stand-in platform to register with")
		instance := fleet.Instance{Kind: fleet.KindWorker, State: fleet.Live}
		flags.StringVar(&instance.ID, "id", "worker-1", "ID of the worker")
		flags.StringVar(&instance.AvailabilityZone, "zone", "az-1", "availability zone of the worker")
		flags.StringVar(&instance.Rack, "rack", "rack-1", "rack of the worker")
		flags.IntVar(&instance.Resources.MilliCores, "millicores", defaultMilliCores, "CPU of the worker, in thousandths of a core")
		flags.IntVar(&instance.Resources.MemoryMB, "memory", defaultMemoryMB, "memory of the worker, in megabytes")
		flags.IntVar(&instance.Resources.Accelerators, "accelerators", 0, "accelerators of the worker")
		var faults worker.Faults
		flags.BoolVar(&faults.FailAll, "fail-all", false, "fail every task")
		flags.IntVar(&faults.SlowFactor, "slow", 1, "factor by which every task takes longer")
		flags.BoolVar(&faults.Silent, "silent", false, "accept calls and never respond")
		flags.IntVar(&faults.LagMillis, "lag", 0, "delay of the reported usage, in milliseconds")
		return func(ctx context.Context, c console, _ []string) error {
			log, listener, err := openStandin(c, *listen)
			if err != nil {
				return err
			}
			instance.Address = listener.Addr().String()
			runner := worker.NewRunner(clockwork.NewRealClock())
			runner.SetFaults(faults)
			if err := registerInstance(ctx, *platformURL, instance); err != nil {
				return err
			}
			log.Info("listening", zap.String("worker", instance.Address), zap.String("id", instance.ID))
			return serveHTTP(ctx, listener, worker.NewServer(runner).Handler())
		}
	}}
}
