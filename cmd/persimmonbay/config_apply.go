package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os/user"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

func configApplyCommand() command {
	return command{name: "apply", args: "FILE", summary: "submit FILE as the next configuration, to replace version -base", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		base := flags.Uint64("base", 0, "version that FILE is based on; 0 if there is no configuration yet")
		as := flags.String("as", currentUser(), "operator name that is recorded with the change")
		return func(ctx context.Context, c console, args []string) error {
			name, data, err := readDocument(args)
			if err != nil {
				return err
			}
			if _, err := configfile.ParseConfiguration(name, data); err != nil {
				return err
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			var accepted message.ApplyResponse
			in := message.ApplyRequest{Operator: *as, Base: configuration.Version(*base), Source: data}
			if err := client.Send(ctx, http.MethodPut, "/v1/configuration", in, &accepted); err != nil {
				return inFile(name, err)
			}
			return f.show(c, accepted, row("ACCEPTED"), []string{fmt.Sprint(accepted.Version)})
		}
	}}
}

// inFile sets the name of the operator's file in findings that an entry returned.
func inFile(name string, err error) error {
	var findings problem.Findings
	if !errors.As(err, &findings) {
		return err
	}
	for i := range findings {
		findings[i].File = name
	}
	return findings
}

// currentUser returns the name of the user of this process, or "operator" if it
// cannot be determined.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}
