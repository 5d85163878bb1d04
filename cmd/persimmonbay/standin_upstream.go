package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/standin/upstream"
)

// defaultSlots is the number of requests that a stand-in upstream serves at once.
const defaultSlots = 8

func standinUpstreamCommand() command {
	return command{name: "upstream", summary: "run a stand-in of an upstream instance of a service; PUT /standin/faults sets its faults", setup: func(flags *flag.FlagSet) commandFunc {
		listen := flags.String("listen", "127.0.0.1:0", "address HOST:PORT; port 0 selects a free port")
		platformURL := flags.String("platform", "", "URL of a stand-in platform to register with")
		slots := flags.Int("slots", defaultSlots, "requests served at once")
		instance := fleet.Instance{Kind: fleet.KindUpstream, State: fleet.Live}
		flags.StringVar(&instance.ID, "id", "runner-1", "ID of the instance")
		flags.StringVar(&instance.Service, "service", "tags", "service that it runs")
		flags.StringVar(&instance.AvailabilityZone, "zone", "az-1", "availability zone of the instance")
		flags.StringVar(&instance.Rack, "rack", "rack-1", "rack of the instance")
		var faults upstream.Faults
		flags.IntVar(&faults.SlowMillis, "slow", 0, "time that every request takes, in milliseconds")
		flags.BoolVar(&faults.FailAll, "fail-all", false, "respond with 500 to every request")
		flags.BoolVar(&faults.DieMidBody, "die-mid-body", false, "close connections after half of the response body")
		flags.IntVar(&faults.BodyBytes, "body-bytes", 0, "size of the padding of a response, in bytes")
		return func(ctx context.Context, c console, _ []string) error {
			log, listener, err := openStandin(c, *listen)
			if err != nil {
				return err
			}
			instance.Address = listener.Addr().String()
			server := upstream.NewServer(instance, *slots, clockwork.NewRealClock())
			server.SetFaults(faults)
			if err := registerInstance(ctx, *platformURL, instance); err != nil {
				return err
			}
			log.Info("listening", zap.String("upstream", instance.Address), zap.String("id", instance.ID))
			return server.Serve(ctx, listener)
		}
	}}
}
