package main

import "context"

// commandFunc runs a command. args are the arguments after the flags. An error
// of type usageError or problem.Findings ends the process with exitUsage, any
// other error with exitFailed.
type commandFunc = func(ctx context.Context, c console, args []string) error
