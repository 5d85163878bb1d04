// Command standins plays one case of the review: it starts the stand-ins of the platform,
// of runners and of clients, and the system's own processes. The first argument names the
// case, the second its record. It is run in the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	cases := map[string]func(trouble bool){"stale-machine-order": staleMachineOrder, "cancelled-runs": cancelledRuns, "upkeep-after-move": upkeepAfterMove, "late-gang": lateGang, "label-not-kept": labelNotKept, "two-owners": twoOwners}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	record.file = file
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
}
