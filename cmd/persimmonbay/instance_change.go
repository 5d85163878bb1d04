package main

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"persimmonbay/internal/operator/message"
)

func instanceMoveCommand() command {
	return command{name: "move", args: "INSTANCE POOL", summary: "move the instance to another pool", setup: func(flags *flag.FlagSet) commandFunc {
		f, in := declareInstanceRequest(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 2 {
				return &usageError{"expected INSTANCE and POOL"}
			}
			in.Target = args[1]
			return f.changeInstance(ctx, c, "move", args[0], in)
		}
	}}
}

func instanceChangeCommand(action, summary string) command {
	return command{name: action, args: "INSTANCE", summary: summary, setup: func(flags *flag.FlagSet) commandFunc {
		f, in := declareInstanceRequest(flags)
		return func(ctx context.Context, c console, args []string) error {
			if len(args) != 1 {
				return &usageError{"expected one INSTANCE"}
			}
			return f.changeInstance(ctx, c, action, args[0], in)
		}
	}}
}

// declareInstanceRequest declares the flags of a change to an instance, which fill
// the request.
func declareInstanceRequest(flags *flag.FlagSet) (*operatorFlags, *message.InstanceRequest) {
	in := &message.InstanceRequest{}
	flags.StringVar(&in.Operator, "as", currentUser(), "operator name that is recorded with the change")
	flags.BoolVar(&in.Force, "force", false, "proceed even if this exceeds the availability budget")
	return declareOperatorFlags(flags), in
}

// changeInstance sends the request for an action on an instance to the entry and
// prints the accepted request.
func (f *operatorFlags) changeInstance(ctx context.Context, c console, action, instance string, in *message.InstanceRequest) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	var accepted message.InstanceRequest
	if err := client.Send(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/"+action, in, &accepted); err != nil {
		return err
	}
	return f.show(c, accepted, row("ACCEPTED", "INSTANCE", "TARGET"), []string{row(action, instance, accepted.Target)})
}
