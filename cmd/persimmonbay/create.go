package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

// addition adds an element of this name to a configuration.
type addition = func(c *configuration.Configuration, name string) error

// createCommand returns a command that adds an element to the configuration in
// force. kind names the kind of the element; declare declares the flags that
// describe it.
func createCommand(kind, args, summary string, declare func(flags *flag.FlagSet) addition) command {
	return command{name: "create", args: args, summary: summary, setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		as := flags.String("as", currentUser(), "operator name that is recorded with the change")
		add := declare(flags)
		return func(ctx context.Context, c console, names []string) error {
			if len(names) != 1 {
				return &usageError{"expected one " + args + " after the flags"}
			}
			accepted, err := f.create(ctx, *as, names[0], add)
			if problem.Is(err, problem.Conflict) {
				return fmt.Errorf("%w; check '%s list' and, if the element is missing, run the command again", err, kind)
			}
			if err != nil {
				return err
			}
			return f.show(c, accepted, row("ACCEPTED", "CREATED"), []string{row(accepted.Version, kind+" "+names[0])})
		}
	}}
}

// create submits the configuration in force with the addition. It fails with kind
// Conflict if another version is accepted in the meantime.
func (f *operatorFlags) create(ctx context.Context, as, name string, add addition) (message.ApplyResponse, error) {
	var accepted message.ApplyResponse
	client, err := f.client()
	if err != nil {
		return accepted, err
	}
	var shown message.Configuration
	if err := client.Get(ctx, "/v1/configuration", &shown); err != nil {
		return accepted, err
	}
	source, err := extend([]byte(shown.Source), name, add)
	if err != nil {
		return accepted, err
	}
	in := message.ApplyRequest{Operator: as, Base: shown.Version, Source: source}
	return accepted, client.Send(ctx, http.MethodPut, "/v1/configuration", in, &accepted)
}

// extend returns the configuration document with the addition, validated.
func extend(source []byte, name string, add addition) ([]byte, error) {
	c, err := configfile.ParseConfiguration("configuration", source)
	if err != nil {
		return nil, err
	}
	if err := add(c, name); err != nil {
		return nil, err
	}
	extended, err := configfile.Render(c)
	if err != nil {
		return nil, err
	}
	_, err = configfile.ParseConfiguration("configuration", extended)
	return extended, err
}
