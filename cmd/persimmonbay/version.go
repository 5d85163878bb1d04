package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

// version is the product's version.
const version = "0.1.0"

func versionCommand() command {
	return command{name: "version", summary: "print the version", setup: func(*flag.FlagSet) commandFunc {
		return func(_ context.Context, c console, _ []string) error {
			goVersion := ""
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = " " + info.GoVersion
			}
			_, err := fmt.Fprintf(c.out, "persimmonbay %s%s\n", version, goVersion)
			return err
		}
	}}
}
