package main

func standinCommand() command {
	return command{name: "standin", summary: "run a stand-in of an external system, for tests", children: []command{
		standinPlatformCommand(),
		standinUpstreamCommand(),
		standinWorkerCommand(),
	}}
}
