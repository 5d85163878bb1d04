package main

import "io"

// console is where a command writes.
type console struct {
	out io.Writer
	err io.Writer
}
