//go:build race

package test

// buildFlags builds the program with the race detector, like these tests.
var buildFlags = []string{"-race"}
