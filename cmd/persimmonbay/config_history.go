package main

import (
	"context"
	"flag"
	"time"

	"persimmonbay/internal/configstore"
)

func configHistoryCommand() command {
	return command{name: "history", summary: "list the accepted configuration versions, oldest first", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var history []configstore.AppliedVersion
			if err := client.Get(ctx, "/v1/configuration/history", &history); err != nil {
				return err
			}
			var rows []string
			for _, a := range history {
				rows = append(rows, row(a.Version, a.Base, a.Operator, a.Applied.Format(time.RFC3339)))
			}
			return f.show(c, history, row("VERSION", "BASE", "OPERATOR", "APPLIED"), rows)
		}
	}}
}
