package main

func jobConfigCommand() command {
	return command{name: "job-config", summary: "work on the configuration of queues, pools and teams for jobs on the users' platform", children: []command{
		jobConfigCheckCommand(),
	}}
}
