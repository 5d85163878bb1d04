package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"persimmonbay/internal/configuration"
)

// Defaults of the flags. They fit the users' services.
const (
	defaultRunners     = 8
	defaultAtOnce      = 8
	defaultConnections = 64
	defaultAnswer      = 5 * time.Second
	defaultPeople      = 10
)

func poolCreateCommand() command {
	return createCommand("pool", "POOL", "add a pool to the configuration", func(*flag.FlagSet) addition {
		return func(c *configuration.Configuration, name string) error { return c.AddPool(name) }
	})
}

func teamCreateCommand() command {
	return createCommand("team", "TEAM", "add a team to the configuration", func(flags *flag.FlagSet) addition {
		var a configuration.TeamAnswers
		flags.StringVar(&a.LateMeans, "late-means", "annoyance", "effect of a late response on its people: harm, annoyance or nothing")
		flags.IntVar(&a.People, "people", defaultPeople, "number of people who use it on a busy day")
		return func(c *configuration.Configuration, name string) error {
			if !slices.Contains([]string{"harm", "annoyance", "nothing"}, a.LateMeans) {
				return &usageError{"-late-means: expected harm, annoyance or nothing, found " + a.LateMeans}
			}
			if err := atLeastOne("people", a.People); err != nil {
				return err
			}
			a.Name = name
			return c.AddTeam(&a)
		}
	})
}

func serviceCreateCommand() command {
	return createCommand("service", "SERVICE", "add a service to the configuration, with a pool of the same name unless -pool is set", func(flags *flag.FlagSet) addition {
		var a configuration.ServiceAnswers
		pool := flags.String("pool", "", "existing pool to run on; empty: a new pool with the name of the service")
		once := flags.String("must-not-repeat", "", "comma-separated paths whose requests must not be executed twice")
		flags.IntVar(&a.Runners, "runners", defaultRunners, "number of runners")
		flags.IntVar(&a.MayBeAway, "may-be-away", 1, "runners that may be down on an ordinary day")
		flags.IntVar(&a.AtOncePerRunner, "at-once-per-runner", defaultAtOnce, "concurrent requests per runner")
		flags.IntVar(&a.Connections, "connections", defaultConnections, "connections that one runner accepts")
		flags.DurationVar(&a.AnswerWithin, "answer-within", defaultAnswer, "time after which people give up waiting for a response")
		return func(c *configuration.Configuration, name string) error {
			if err := atLeastOne("runners", a.Runners); err != nil {
				return err
			}
			if *once != "" {
				a.MustNotRepeat = strings.Split(*once, ",")
			}
			a.Name = name
			return c.AddService(&a, *pool)
		}
	})
}

// atLeastOne returns a usageError if the flag's value n is below 1.
func atLeastOne(name string, n int) error {
	if n < 1 {
		return &usageError{fmt.Sprintf("-%s: expected at least 1, found %d", name, n)}
	}
	return nil
}

// instanceCreateCommand returns a command that always fails with a usage error,
// which explains how the platform creates instances.
func instanceCreateCommand() command {
	return command{name: "create", summary: "explain how to create an instance", setup: func(*flag.FlagSet) commandFunc {
		return func(context.Context, console, []string) error {
			return &usageError{"the platform creates instances: start one there under the name of its service; 'instance list' shows it within seconds"}
		}
	}}
}
