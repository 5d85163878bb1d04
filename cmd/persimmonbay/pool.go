package main

import (
	"context"
	"flag"
	"strings"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

func poolCommand() command {
	return command{name: "pool", summary: "list, show and create pools", children: []command{
		poolListCommand(),
		poolShowCommand(),
		poolCreateCommand(),
	}}
}

func poolListCommand() command {
	return command{name: "list", summary: "list the pools with their instances and availability budgets", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			pools, err := f.pools(ctx)
			if err != nil {
				return err
			}
			return f.showPools(c, pools, pools)
		}
	}}
}

func poolShowCommand() command {
	return command{name: "show", args: "POOL", summary: "show one pool", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one POOL"}
			}
			pools, err := f.pools(ctx)
			if err != nil {
				return err
			}
			for _, p := range pools {
				if p.Pool == args[0] {
					return f.showPools(c, p, []message.PoolStatus{p})
				}
			}
			return problem.New(problem.NotFound, problem.StepPlan, args[0], "no such pool; 'pool list' shows them")
		}
	}}
}

func (f *operatorFlags) pools(ctx context.Context) ([]message.PoolStatus, error) {
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	var pools []message.PoolStatus
	return pools, client.Get(ctx, "/v1/pools", &pools)
}

func (f *operatorFlags) showPools(c console, value any, pools []message.PoolStatus) error {
	var rows []string
	for _, p := range pools {
		rows = append(rows, row(p.Pool, p.Home, p.Present, p.Needed, p.Free(), p.Spare, strings.Join(p.Services, ",")))
	}
	return f.show(c, value, row("POOL", "INSTANCES", "SERVING", "NEEDED", "FREE", "SPARE", "SERVICES"), rows)
}
