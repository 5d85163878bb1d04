// Command standins2 plays one case of the second independent review: it starts the
// project's processes and the stand-ins of the platform, its runners and its clients,
// brings in the case's disruption, and checks one rule.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(folder string){
	"config-after-cut":    configAfterCut,
	"advice-after-outage": adviceAfterOutage,
	"release-during-wave": releaseDuringWave,
	"many-ends":           manyEnds,
	"explore":             explore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		os.Exit(exitUnable)
	}
	cases[os.Args[1]](os.Args[2])
}
