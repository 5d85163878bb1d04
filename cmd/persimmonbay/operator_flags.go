package main

import (
	"flag"
	"os"

	"persimmonbay/internal/operator"
)

// Environment variables that hold the defaults of flags.
const (
	operatorVariable = "PERSIMMONBAY_OPERATOR"
	tokenVariable    = "PERSIMMONBAY_TOKEN"
)

// operatorFlags holds the flags shared by all commands that call an entry.
type operatorFlags struct {
	address string
	token   string
	output  string
}

// declareOperatorFlags declares the flags and returns their values.
func declareOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	f := &operatorFlags{}
	flags.StringVar(&f.address, "operator", os.Getenv(operatorVariable), "operator address HOST:PORT of an entry (or "+operatorVariable+")")
	flags.StringVar(&f.token, "token", os.Getenv(tokenVariable), "operator token from the entry's settings, required for changes (or "+tokenVariable+")")
	flags.StringVar(&f.output, "output", "table", "output format: json or table")
	return f
}

// client returns a client of the entry, or a usageError if a flag is not valid.
func (f *operatorFlags) client() (*operator.Client, error) {
	if f.address == "" {
		return nil, &usageError{"expected -operator HOST:PORT or " + operatorVariable}
	}
	if f.output != "json" && f.output != "table" {
		return nil, &usageError{"-output: expected json or table, found " + f.output}
	}
	return operator.NewClient(f.address, f.token), nil
}
