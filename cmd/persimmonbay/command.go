package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"persimmonbay/internal/problem"
)

// Exit codes of the process.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a command, or a group of commands if children is set.
type command struct {
	name     string
	args     string // arguments after the flags, for the usage line
	summary  string
	children []command
	// setup declares the flags and returns the function to run once they are
	// parsed; nil for a group.
	setup func(flags *flag.FlagSet) commandFunc
}

// run runs the command that args name and returns its exit code.
func run(ctx context.Context, all []command, args []string, c console) int {
	return runGroup(ctx, command{name: "persimmonbay", children: all}, "persimmonbay", args, c)
}

// runGroup runs the command of the group that args name. path holds the names
// up to the group.
func runGroup(ctx context.Context, group command, path string, args []string, c console) int {
	if len(args) == 0 {
		groupUsage(group, path, c)
		return exitUsage
	}
	if isHelp(args[0]) {
		groupUsage(group, path, console{out: c.out, err: c.out})
		return exitDone
	}
	for _, child := range group.children {
		if child.name != args[0] {
			continue
		}
		if child.setup == nil {
			return runGroup(ctx, child, path+" "+child.name, args[1:], c)
		}
		return runLeaf(ctx, child, path+" "+child.name, args[1:], c)
	}
	fmt.Fprintf(c.err, "%s: unknown command %q; run '%s -h' for the list of commands\n", path, args[0], path)
	return exitUsage
}

// runLeaf parses the flags of a command and runs it.
func runLeaf(ctx context.Context, leaf command, path string, args []string, c console) int {
	flags := flag.NewFlagSet(path, flag.ContinueOnError)
	flags.SetOutput(c.err)
	flags.Usage = func() { leafUsage(leaf, path, flags, c) }
	runCommand := leaf.setup(flags)
	if len(args) > 0 && isHelp(args[0]) {
		flags.SetOutput(c.out)
		leafUsage(leaf, path, flags, console{out: c.out, err: c.out})
		return exitDone
	}
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	return exitCode(runCommand(ctx, c, flags.Args()), path, c)
}

// exitCode prints err, if any, and returns the exit code that it leads to.
func exitCode(err error, path string, c console) int {
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(c.err, "%s: %v\n", path, err)
	var usage *usageError
	var findings problem.Findings
	if errors.As(err, &usage) || errors.As(err, &findings) {
		return exitUsage
	}
	return exitFailed
}

func isHelp(arg string) bool { return arg == "-h" || arg == "--help" || arg == "-help" }

// groupUsage prints the usage of a group with its commands.
func groupUsage(group command, path string, c console) {
	fmt.Fprintf(c.err, "usage: %s COMMAND [flags]\n\ncommands:\n", path)
	for _, child := range group.children {
		fmt.Fprintf(c.err, "  %-10s %s\n", child.name, child.summary)
	}
}

// leafUsage prints the usage of a command with its flags.
func leafUsage(leaf command, path string, flags *flag.FlagSet, c console) {
	fmt.Fprintf(c.err, "usage: %s [flags] %s\n\n%s\n", path, leaf.args, leaf.summary)
	flags.PrintDefaults()
}
