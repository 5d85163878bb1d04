package main

import "io"

// console holds the output streams of a command.
type console struct {
	out io.Writer
	err io.Writer
}
