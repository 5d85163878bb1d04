package main

import (
	"context"
	"flag"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

func serviceCommand() command {
	return command{name: "service", summary: "list, show and create services", children: []command{
		serviceListCommand(),
		serviceShowCommand(),
		serviceCreateCommand(),
	}}
}

func serviceListCommand() command {
	return command{name: "list", summary: "list the services with their instances and availability budgets", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			services, err := f.services(ctx)
			if err != nil {
				return err
			}
			return f.showServices(c, services, services)
		}
	}}
}

func serviceShowCommand() command {
	return command{name: "show", args: "SERVICE", summary: "show one service", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one SERVICE"}
			}
			services, err := f.services(ctx)
			if err != nil {
				return err
			}
			for _, s := range services {
				if s.Service == args[0] {
					return f.showServices(c, s, []message.ServiceStatus{s})
				}
			}
			return problem.New(problem.NotFound, problem.StepPlan, args[0], "no such service; 'service list' shows them")
		}
	}}
}

func (f *operatorFlags) services(ctx context.Context) ([]message.ServiceStatus, error) {
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	var services []message.ServiceStatus
	return services, client.Get(ctx, "/v1/services", &services)
}

func (f *operatorFlags) showServices(c console, value any, services []message.ServiceStatus) error {
	var rows []string
	for _, s := range services {
		rows = append(rows, row(s.Service, s.Pool, s.AvailabilityBudget, s.Instances, s.Present, s.Needed, s.Slots, s.Connections))
	}
	return f.show(c, value, row("SERVICE", "POOL", "BUDGET", "INSTANCES", "SERVING", "NEEDED", "SLOTS", "CONNECTIONS"), rows)
}
