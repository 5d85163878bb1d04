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

// Answers assumed when a flag is not given: those of the users' services.
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
		flags.StringVar(&a.LateMeans, "late-means", "annoyance", "what a late answer does to its people: harm, annoyance or nothing")
		flags.IntVar(&a.People, "people", defaultPeople, "people who use it on a busy day")
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
	return createCommand("service", "SERVICE", "add a service, and a pool of its name unless -pool names another, to the configuration", func(flags *flag.FlagSet) addition {
		var a configuration.ServiceAnswers
		pool := flags.String("pool", "", "existing pool to run on; empty: one of the service's name")
		once := flags.String("must-not-repeat", "", "paths whose work must be done once, with commas")
		flags.IntVar(&a.Runners, "runners", defaultRunners, "runners")
		flags.IntVar(&a.MayBeAway, "may-be-away", 1, "runners that nobody misses on an ordinary day")
		flags.IntVar(&a.AtOncePerRunner, "at-once-per-runner", defaultAtOnce, "requests one runner works on at once")
		flags.IntVar(&a.Connections, "connections", defaultConnections, "connections one runner accepts")
		flags.DurationVar(&a.AnswerWithin, "answer-within", defaultAnswer, "when people give up")
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

func atLeastOne(name string, n int) error {
	if n < 1 {
		return &usageError{fmt.Sprintf("-%s: expected at least 1, found %d", name, n)}
	}
	return nil
}

// instanceCreateCommand refuses and says where instances come from.
func instanceCreateCommand() command {
	return command{name: "create", summary: "say how an instance is made", setup: func(*flag.FlagSet) runner {
		return func(context.Context, console, []string) error {
			return &usageError{"instances are made by the platform: start one there with its service's name, and 'instance list' shows it within seconds"}
		}
	}}
}
