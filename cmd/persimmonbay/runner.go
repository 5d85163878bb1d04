package main

import "context"

// runner does a command's work. args are the words after the flags.
type runner = func(ctx context.Context, c console, args []string) error
