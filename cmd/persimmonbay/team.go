package main

import (
	"context"
	"flag"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

func teamCommand() command {
	return command{name: "team", summary: "list, show and create teams", children: []command{
		teamListCommand(),
		teamShowCommand(),
		teamCreateCommand(),
	}}
}

func teamListCommand() command {
	return command{name: "list", summary: "list the teams", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			teams, err := f.teams(ctx)
			if err != nil {
				return err
			}
			return f.showTeams(c, teams, teams)
		}
	}}
}

func teamShowCommand() command {
	return command{name: "show", args: "TEAM", summary: "show one team", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one TEAM"}
			}
			teams, err := f.teams(ctx)
			if err != nil {
				return err
			}
			for _, t := range teams {
				if t.Team == args[0] {
					return f.showTeams(c, t, []message.TeamStatus{t})
				}
			}
			return problem.New(problem.NotFound, problem.StepPlan, args[0], "no such team; 'team list' shows them")
		}
	}}
}

func (f *operatorFlags) teams(ctx context.Context) ([]message.TeamStatus, error) {
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	var teams []message.TeamStatus
	return teams, client.Get(ctx, "/v1/teams", &teams)
}

func (f *operatorFlags) showTeams(c console, value any, teams []message.TeamStatus) error {
	var rows []string
	for _, t := range teams {
		rows = append(rows, row(t.Team, t.TopClass, t.Weight))
	}
	return f.show(c, value, row("TEAM", "TOP CLASS", "WEIGHT"), rows)
}
