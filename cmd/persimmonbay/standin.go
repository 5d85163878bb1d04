package main

func standinCommand() command {
	return command{name: "standin", summary: "run a small stand-in of an outside system, for trials", children: []command{
		standinPlatformCommand(),
		standinUpstreamCommand(),
		standinWorkerCommand(),
	}}
}
