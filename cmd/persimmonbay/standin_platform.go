package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/standin/platform"
)

func standinPlatformCommand() command {
	return command{name: "platform", summary: "run a stand-in of the platform's service; PUT /standin/faults throws its switches", setup: func(flags *flag.FlagSet) runner {
		listen := flags.String("listen", "127.0.0.1:0", "address HOST:PORT; port 0 picks a free one")
		var faults platform.Faults
		flags.BoolVar(&faults.Outage, "outage", false, "start with every call failing")
		flags.IntVar(&faults.SlowMillis, "slow", 0, "milliseconds that every call waits")
		flags.Float64Var(&faults.LoseAnswers, "lose-answers", 0, "share of writes whose answer is lost after they took effect")
		flags.BoolVar(&faults.Silent, "silent", false, "take calls and never answer")
		flags.IntVar(&faults.LagMillis, "lag", 0, "milliseconds that the list of instances lags")
		rebootTime := flags.Duration("reboot-time", platform.DefaultRebootTime, "how long an instance is away for a reboot")
		flags.Uint64Var(&faults.Seed, "seed", 1, "seed of the choice of lost answers")
		var rates platform.Rates
		flags.IntVar(&rates.Writes, "writes", 0, "writes a second that are taken; 0 for any number")
		flags.IntVar(&rates.Reads, "reads", 0, "reads a second that are taken, a watch counting as one; 0 for any number")
		return func(ctx context.Context, c console, _ []string) error {
			log, listener, err := openStandin(c, *listen)
			if err != nil {
				return err
			}
			server := platform.NewServer(clockwork.NewRealClock())
			server.SetFaults(faults)
			server.SetRates(rates)
			server.Reboots.SetTime(*rebootTime)
			log.Info("listening", zap.String("platform", listener.Addr().String()))
			return serveHTTP(ctx, listener, server.Handler())
		}
	}}
}
