package main

import (
	"context"
	"flag"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

func instanceShowCommand() command {
	return command{name: "show", args: "INSTANCE", summary: "show one instance", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one INSTANCE"}
			}
			instances, err := f.instances(ctx)
			if err != nil {
				return err
			}
			for _, i := range instances {
				if i.ID == args[0] {
					return f.showInstances(c, i, []message.InstanceStatus{i})
				}
			}
			return problem.New(problem.NotFound, problem.StepInstances, args[0], "no such instance; 'instance list' shows them")
		}
	}}
}
