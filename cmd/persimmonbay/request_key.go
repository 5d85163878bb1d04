package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/uuid"
)

func requestKeyCommand() command {
	return command{name: "key", summary: "print a new Idempotency-Key", setup: func(*flag.FlagSet) commandFunc {
		return func(_ context.Context, c console, _ []string) error {
			key, err := uuid.NewV7()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.out, key)
			return err
		}
	}}
}
