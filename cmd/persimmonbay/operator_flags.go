package main

import (
	"flag"
	"os"

	"persimmonbay/internal/operator"
)

// Environment variables that stand in for flags.
const (
	operatorVariable = "PERSIMMONBAY_OPERATOR"
	tokenVariable    = "PERSIMMONBAY_TOKEN"
)

// operatorFlags are the flags of every command that asks an entry.
type operatorFlags struct {
	address string
	token   string
	output  string
}

func declareOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	f := &operatorFlags{}
	flags.StringVar(&f.address, "operator", os.Getenv(operatorVariable), "operator address HOST:PORT of an entry (or "+operatorVariable+")")
	flags.StringVar(&f.token, "token", os.Getenv(tokenVariable), "operator token from the entry's settings, for changes (or "+tokenVariable+")")
	flags.StringVar(&f.output, "output", "table", "json or table")
	return f
}

func (f *operatorFlags) client() (*operator.Client, error) {
	if f.address == "" {
		return nil, &usageError{"expected -operator HOST:PORT or " + operatorVariable}
	}
	if f.output != "json" && f.output != "table" {
		return nil, &usageError{"-output: expected json or table, found " + f.output}
	}
	return operator.NewClient(f.address, f.token), nil
}
