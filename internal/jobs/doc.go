// Package jobs carries the plans of package placement out: the entry that holds
// the control lease writes each step into the store, orders tasks by what the
// store then holds, and writes down what became of them. What an entry does
// follows from the store alone, so that another can go on at any point.
package jobs
