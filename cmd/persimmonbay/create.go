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

// addition adds what is called name to a configuration.
type addition = func(c *configuration.Configuration, name string) error

// createCommand adds something to the configuration in force. declare declares
// the flags that describe it.
func createCommand(what, args, summary string, declare func(flags *flag.FlagSet) addition) command {
	return command{name: "create", args: args, summary: summary, setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		as := flags.String("as", currentUser(), "name to record and to show to others")
		add := declare(flags)
		return func(ctx context.Context, c console, words []string) error {
			if len(words) != 1 {
				return &usageError{"expected one " + args + " after the flags"}
			}
			accepted, err := f.create(ctx, *as, words[0], add)
			if problem.Is(err, problem.Conflict) {
				return fmt.Errorf("%w; look at '%s list' and, if it is not there, give the same command again", err, what)
			}
			if err != nil {
				return err
			}
			return f.show(c, accepted, row("ACCEPTED", "CREATED"), []string{row(accepted.Version, what+" "+words[0])})
		}
	}}
}

// create applies the configuration in force with the addition, on condition
// that no other change comes first.
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

// extend returns the document of a configuration with the addition, checked.
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
