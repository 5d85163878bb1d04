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
	return command{name: "apply", args: "FILE", summary: "make FILE the accepted configuration in place of the base version", setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		base := flags.Uint64("base", 0, "the version that FILE was made from; 0 when there is none yet")
		as := flags.String("as", currentUser(), "name to record and to show to others")
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

// inFile names the operator's file in findings that came from an entry.
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

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}
