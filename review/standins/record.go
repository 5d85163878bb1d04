package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	began  = time.Now()
	record struct {
		sync.Mutex
		file *os.File
	}
)

// note writes one line with the time since the start to record.txt.
func note(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// check ends the run as one that could not be played.
func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func cannotRun(format string, args ...any) {
	note("the case could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// finish ends the run with its verdict.
func finish(broken bool, format string, args ...any) {
	verdict, code := "held", 0
	if broken {
		verdict, code = "BROKEN", 1
	}
	note("rule "+verdict+": "+format, args...)
	fmt.Printf("rule "+verdict+": "+format+"\n", args...)
	stopAll()
	os.Exit(code)
}
