package main

import (
	"context"
	"flag"
	"fmt"

	"persimmonbay/internal/operator/message"
)

func configShowCommand() command {
	return command{name: "show", summary: "print the configuration that is in force on the entry", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var shown message.Configuration
			if err := client.Get(ctx, "/v1/configuration", &shown); err != nil {
				return err
			}
			if f.output == "json" {
				return f.show(c, shown, "", nil)
			}
			_, err = fmt.Fprintf(c.out, "# version %d\n%s", shown.Version, shown.Source)
			return err
		}
	}}
}
