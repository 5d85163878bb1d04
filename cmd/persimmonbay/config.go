package main

func configCommand() command {
	return command{name: "config", summary: "generate, check, apply and follow the configuration", children: []command{
		configGenerateCommand(),
		configCheckCommand(),
		configApplyCommand(),
		configShowCommand(),
		configStatusCommand(),
		configHistoryCommand(),
	}}
}
