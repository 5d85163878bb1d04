package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/standin/upstream"
)

// defaultSlots is how many requests a stand-in runner works on at once.
const defaultSlots = 8

func standinUpstreamCommand() command {
	return command{name: "upstream", summary: "run a stand-in of one runner of a service; PUT /standin/faults throws its switches", setup: func(flags *flag.FlagSet) runner {
		listen := flags.String("listen", "127.0.0.1:0", "address HOST:PORT; port 0 picks a free one")
		platformURL := flags.String("platform", "", "URL of a stand-in platform to be listed at")
		slots := flags.Int("slots", defaultSlots, "requests at work at once")
		instance := fleet.Instance{Kind: fleet.KindUpstream, State: fleet.Live}
		flags.StringVar(&instance.ID, "id", "runner-1", "ID of the instance")
		flags.StringVar(&instance.Service, "service", "tags", "service it runs")
		flags.StringVar(&instance.AvailabilityZone, "zone", "az-1", "its availability zone")
		flags.StringVar(&instance.Rack, "rack", "rack-1", "its rack")
		var faults upstream.Faults
		flags.IntVar(&faults.SlowMillis, "slow", 0, "milliseconds of work on every request")
		flags.BoolVar(&faults.FailAll, "fail-all", false, "answer 500 to every request")
		flags.BoolVar(&faults.DieMidBody, "die-mid-body", false, "break connections after half of the body")
		flags.IntVar(&faults.BodyBytes, "body-bytes", 0, "size of the padding of an answer")
		return func(ctx context.Context, c console, _ []string) error {
			log, listener, err := openStandin(c, *listen)
			if err != nil {
				return err
			}
			instance.Address = listener.Addr().String()
			server := upstream.NewServer(instance, *slots, clockwork.NewRealClock())
			server.SetFaults(faults)
			if err := listInstance(ctx, *platformURL, instance); err != nil {
				return err
			}
			log.Info("listening", zap.String("upstream", instance.Address), zap.String("id", instance.ID))
			return server.Serve(ctx, listener)
		}
	}}
}
