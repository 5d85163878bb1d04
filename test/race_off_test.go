//go:build !race

package test

// buildFlags builds the program without the race detector, like these tests.
var buildFlags []string
