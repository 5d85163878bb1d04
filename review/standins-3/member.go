package main

type member struct {
	runner *runner
	task   string
	run    *taskRun
}
