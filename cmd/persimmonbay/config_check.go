package main

import (
	"context"
	"flag"
	"fmt"

	"persimmonbay/internal/configfile"
)

func configCheckCommand() command {
	return command{name: "check", args: "FILE", summary: "validate a configuration file and print every error with its line", setup: func(*flag.FlagSet) commandFunc {
		return func(_ context.Context, c console, args []string) error {
			name, data, err := readDocument(args)
			if err != nil {
				return err
			}
			if _, err := configfile.ParseConfiguration(name, data); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.out, name+": ok")
			return err
		}
	}}
}
