package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"persimmonbay/internal/problem"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one command, or a group of them when children is set.
type command struct {
	name     string
	args     string // what follows the flags, for the usage line
	summary  string
	children []command
	// setup declares the flags and returns what runs after they are parsed.
	setup func(flags *flag.FlagSet) runner
}

// run finds the command that args name, runs it and returns its exit code.
func run(ctx context.Context, all []command, args []string, c console) int {
	return runGroup(ctx, command{name: "persimmonbay", children: all}, "persimmonbay", args, c)
}

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
	fmt.Fprintf(c.err, "%s: unknown command %q; '%s -h' lists the commands\n", path, args[0], path)
	return exitUsage
}

func runLeaf(ctx context.Context, leaf command, path string, args []string, c console) int {
	flags := flag.NewFlagSet(path, flag.ContinueOnError)
	flags.SetOutput(c.err)
	flags.Usage = func() { leafUsage(leaf, path, flags, c) }
	work := leaf.setup(flags)
	if len(args) > 0 && isHelp(args[0]) {
		flags.SetOutput(c.out)
		leafUsage(leaf, path, flags, console{out: c.out, err: c.out})
		return exitDone
	}
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	return exitCode(work(ctx, c, flags.Args()), path, c)
}

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

func isHelp(word string) bool { return word == "-h" || word == "--help" || word == "-help" }

func groupUsage(group command, path string, c console) {
	fmt.Fprintf(c.err, "usage: %s COMMAND [flags]\n\ncommands:\n", path)
	for _, child := range group.children {
		fmt.Fprintf(c.err, "  %-10s %s\n", child.name, child.summary)
	}
}

func leafUsage(leaf command, path string, flags *flag.FlagSet, c console) {
	fmt.Fprintf(c.err, "usage: %s [flags] %s\n\n%s\n", path, leaf.args, leaf.summary)
	flags.PrintDefaults()
}
