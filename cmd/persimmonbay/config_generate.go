package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
)

func configGenerateCommand() command {
	return command{name: "generate", args: "ANSWERS", summary: "print the configuration generated from a questionnaire's answers", setup: func(*flag.FlagSet) commandFunc {
		return func(_ context.Context, c console, args []string) error {
			name, data, err := readDocument(args)
			if err != nil {
				return err
			}
			questionnaire, err := configfile.ParseQuestionnaire(name, data)
			if err != nil {
				return err
			}
			rendered, err := configfile.Render(configuration.Generate(questionnaire))
			if err != nil {
				return err
			}
			_, err = c.out.Write(rendered)
			return err
		}
	}}
}

// readDocument reads the file that args name. Its errors are a usageError unless
// there is exactly one argument, and of kind NotFound if it cannot be read.
func readDocument(args []string) (name string, data []byte, err error) {
	if len(args) != 1 {
		return "", nil, &usageError{fmt.Sprintf("expected one file after the flags, found %d", len(args))}
	}
	data, err = os.ReadFile(args[0])
	if err != nil {
		return "", nil, problem.Wrap(problem.NotFound, problem.StepParse, args[0], err)
	}
	return args[0], data, nil
}
