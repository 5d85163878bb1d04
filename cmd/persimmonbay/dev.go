package main

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/entry"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/settings"
	standinplatform "persimmonbay/internal/standin/platform"
	standinupstream "persimmonbay/internal/standin/upstream"
	"persimmonbay/internal/telemetry"
)

// devAnswers is the questionnaire of the embedded fleet.
//
//go:embed dev_answers.yaml
var devAnswers []byte

// Composition and secrets of the embedded fleet.
const (
	devRunnersPerService = 2
	devZones             = 3
	devToken             = "dev-operator-token"
	devPeerKey           = "dev-peer-key-only-here"
)

func devCommand() command {
	return command{name: "dev", summary: "run a small fleet in one process: stand-ins and an entry", setup: func(flags *flag.FlagSet) commandFunc {
		callers := flags.String("callers", "127.0.0.1:0", "address HOST:PORT for callers; port 0 selects a free port")
		logLevel := flags.String("log", "warn", "log level: debug, info, warn or error")
		return func(ctx context.Context, c console, _ []string) error {
			return runDev(ctx, c, *callers, *logLevel)
		}
	}}
}

// runDev runs the embedded fleet until ctx ends.
func runDev(ctx context.Context, c console, callers, logLevel string) error {
	group, ctx := errgroup.WithContext(ctx)
	standinsCtx, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandins()
	clock := clockwork.NewRealClock()
	fleetPlatform := standinplatform.NewServer(clock)
	configured, err := devConfiguration(ctx, fleetPlatform, clock)
	if err != nil {
		return err
	}
	platformListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	group.Go(func() error { return serveHTTP(standinsCtx, platformListener, fleetPlatform.Handler()) })
	for i := range configured.Services {
		if err := startDevRunners(standinsCtx, group, fleetPlatform, &configured.Services[i], clock); err != nil {
			return err
		}
	}
	if err := startDevWorkers(standinsCtx, group, fleetPlatform, clock); err != nil {
		return err
	}
	log, err := telemetry.NewLogger(c.err, logLevel)
	if err != nil {
		return err
	}
	e, err := entry.New(devSettings(callers, "http://"+platformListener.Addr().String(), logLevel), clock, log)
	if err != nil {
		return err
	}
	group.Go(func() error {
		defer stopStandins() // after the entry has stopped, so that it can revoke its lease
		return e.Run(ctx)
	})
	jobs, err := startDevJobs(ctx, standinsCtx, group, c, logLevel, clock)
	if err != nil {
		return err
	}
	group.Go(func() error {
		if !waitReady(ctx, clock, func() bool { return e.Ready() == nil && jobs.entry.Ready() }) {
			return nil
		}
		printDev(c, e.Addresses(), platformListener.Addr().String())
		jobs.print(c)
		return nil
	})
	return group.Wait()
}

// readyPollInterval is the time between two readiness checks of the embedded
// entries.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until ready returns true. It returns false if ctx ends first.
func waitReady(ctx context.Context, clock clockwork.Clock, ready func() bool) bool {
	for !ready() {
		select {
		case <-ctx.Done():
			return false
		case <-clock.After(readyPollInterval):
		}
	}
	return true
}

// devConfiguration generates the configuration from the embedded questionnaire,
// applies it and returns it.
func devConfiguration(ctx context.Context, p *standinplatform.Server, clock clockwork.Clock) (*configuration.Configuration, error) {
	answers, err := configfile.ParseQuestionnaire("dev_answers.yaml", devAnswers)
	if err != nil {
		return nil, err
	}
	generated := configuration.Generate(answers)
	source, err := configfile.Render(generated)
	if err != nil {
		return nil, err
	}
	_, err = configstore.New(p.Store, clock).Apply(ctx, "dev", 0, source)
	return generated, err
}

// startDevRunners starts the stand-in upstreams of a service and lists them on the
// stand-in platform.
func startDevRunners(ctx context.Context, group *errgroup.Group, p *standinplatform.Server, service *configuration.Service, clock clockwork.Clock) error {
	for i := range devRunnersPerService {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		instance := fleet.Instance{
			ID:               fmt.Sprintf("%s-%d", service.Name, i+1),
			Kind:             fleet.KindUpstream,
			Service:          service.Name,
			Address:          listener.Addr().String(),
			AvailabilityZone: fmt.Sprintf("az-%d", i%devZones+1),
			Rack:             fmt.Sprintf("rack-%d", i+1),
			State:            fleet.Live,
		}
		p.Instances.Put(instance)
		server := standinupstream.NewServer(instance, service.Slots, clock)
		group.Go(func() error { return server.Serve(ctx, listener) })
	}
	return nil
}

func devSettings(callers, platformURL, logLevel string) settings.Entry {
	s := settings.DefaultEntry()
	s.ID = "entry-1"
	s.AvailabilityZone = "az-1"
	s.Listen.Callers = callers
	s.Platform.Address = platformURL
	s.LogLevel = logLevel
	s.Limits.ShutdownNotice = 100 * time.Millisecond
	s.Secrets = settings.Secrets{PeerKey: devPeerKey, OperatorToken: devToken}
	return s
}

// printDev prints the addresses of the embedded fleet and sample requests.
func printDev(c console, a entry.Addresses, platformAddress string) {
	fmt.Fprintf(c.out, "callers    http://%s\noperators  http://%s (token %s)\nplatform   http://%s\n\n", a.Callers, a.Operators, devToken, platformAddress)
	fmt.Fprintf(c.out, "try: curl -i -H 'Persimmonbay-Team: herders' http://%s/tags/8812\n", a.Callers)
	fmt.Fprintf(c.out, "     persimmonbay job submit -operator %s -token %s -team reconciliation -name rights -work '{\"runMillis\":5000}'\n", a.Operators, devToken)
}
