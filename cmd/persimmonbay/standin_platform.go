package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/standin/platform"
)

func standinPlatformCommand() command {
	return command{name: "platform", summary: "run a stand-in of the platform; PUT /standin/faults sets its faults", setup: func(flags *flag.FlagSet) commandFunc {
		listen := flags.String("listen", "127.0.0.1:0", "address HOST:PORT; port 0 selects a free port")
		var faults platform.Faults
		flags.BoolVar(&faults.Outage, "outage", false, "fail every call")
		flags.IntVar(&faults.SlowMillis, "slow", 0, "delay of every call, in milliseconds")
		flags.Float64Var(&faults.LoseResponses, "lose-answers", 0, "share of writes, 0 to 1, that take effect but whose response is lost")
		flags.BoolVar(&faults.Silent, "silent", false, "accept calls and never respond")
		flags.IntVar(&faults.LagMillis, "lag", 0, "delay of the list of instances, in milliseconds")
		rebootTime := flags.Duration("reboot-time", platform.DefaultRebootTime, "how long a reboot takes")
		flags.Uint64Var(&faults.Seed, "seed", 1, "seed of the choice of lost responses")
		var rates platform.Rates
		flags.IntVar(&rates.Writes, "writes", 0, "allowed writes per second; 0: unlimited")
		flags.IntVar(&rates.Reads, "reads", 0, "allowed reads per second, where each watch counts as one; 0: unlimited")
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
