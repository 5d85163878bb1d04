package main

func configCommand() command {
	return command{name: "config", summary: "generate, check, apply and inspect the configuration", children: []command{
		configGenerateCommand(),
		configCheckCommand(),
		configApplyCommand(),
		configShowCommand(),
		configStatusCommand(),
		configHistoryCommand(),
	}}
}
