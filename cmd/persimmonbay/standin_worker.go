package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/standin/worker"
)

// What a stand-in worker has unless it is told otherwise: the users' workers.
const (
	defaultMilliCores = 32000
	defaultMemoryMB   = 131072
)

func standinWorkerCommand() command {
	return command{name: "worker", summary: "run a stand-in of one worker; PUT /standin/faults throws its switches", setup: func(flags *flag.FlagSet) runner {
		listen := flags.String("listen", "127.0.0.1:0", "address HOST:PORT; port 0 picks a free one")
		platformURL := flags.String("platform", "", "URL of a stand-in platform to be listed at")
		instance := fleet.Instance{Kind: fleet.KindWorker, State: fleet.Live}
		flags.StringVar(&instance.ID, "id", "worker-1", "ID of the worker")
		flags.StringVar(&instance.AvailabilityZone, "zone", "az-1", "its availability zone")
		flags.StringVar(&instance.Rack, "rack", "rack-1", "its rack")
		flags.IntVar(&instance.Resources.MilliCores, "millicores", defaultMilliCores, "its processors, in thousandths")
		flags.IntVar(&instance.Resources.MemoryMB, "memory", defaultMemoryMB, "its memory, in megabytes")
		flags.IntVar(&instance.Resources.Accelerators, "accelerators", 0, "its accelerators")
		var faults worker.Faults
		flags.BoolVar(&faults.FailAll, "fail-all", false, "fail every task")
		flags.IntVar(&faults.SlowFactor, "slow", 1, "times as long that every task takes")
		flags.BoolVar(&faults.Silent, "silent", false, "take calls and never answer")
		flags.IntVar(&faults.LagMillis, "lag", 0, "milliseconds that reported usage lags")
		return func(ctx context.Context, c console, _ []string) error {
			log, listener, err := openStandin(c, *listen)
			if err != nil {
				return err
			}
			instance.Address = listener.Addr().String()
			runner := worker.NewRunner(clockwork.NewRealClock())
			runner.SetFaults(faults)
			if err := listInstance(ctx, *platformURL, instance); err != nil {
				return err
			}
			log.Info("listening", zap.String("worker", instance.Address), zap.String("id", instance.ID))
			return serveHTTP(ctx, listener, worker.NewServer(runner).Handler())
		}
	}}
}
