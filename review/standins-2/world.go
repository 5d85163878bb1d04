package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// world holds the platform's stand-ins and the project's processes of one run.
type world struct {
	store        *store
	cloudAddress string
	advised      *floor // whose advice service the entries call; nil: none
	entries      []*entry
	dir          string
}

// trouble is false for a run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var (
	began  = time.Now()
	record *os.File
	noteMu sync.Mutex
	theOne *world
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	if record != nil {
		fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// fail ends the script, as the case cannot run.
func fail(format string, args ...any) {
	note("CANNOT RUN: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	finish(exitUnable)
}

// finish ends all processes and the script.
func finish(code int) {
	if theOne != nil {
		for _, e := range theOne.entries {
			if e.process != nil {
				_ = e.process.Process.Signal(syscall.SIGKILL)
				<-e.exited
			}
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(theOne.dir)
		} else {
			fmt.Fprintln(os.Stderr, theOne.dir)
		}
	}
	os.Exit(code)
}

// verdict ends the script with the result of the check.
func verdict(rule string, broken []string) {
	for i, b := range broken {
		if i == 20 {
			note("... %d more", len(broken)-i)
			break
		}
		note("BROKEN %s: %s", rule, b)
	}
	if len(broken) > 0 {
		fmt.Printf("%s broken %d times; first: %s\n", rule, len(broken), broken[0])
		finish(exitBroken)
	}
	note("%s held", rule)
	fmt.Printf("%s held\n", rule)
	finish(exitHeld)
}

// newWorld opens the record in folder and starts the platform's stand-ins.
func newWorld(folder string) *world {
	var err error
	if record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fail("record: %v", err)
	}
	w := &world{store: newStore()}
	theOne = w
	if w.dir, err = os.MkdirTemp("", "persimmonbay-review-"); err != nil {
		fail("temporary folder: %v", err)
	}
	time.AfterFunc(115*time.Second, func() { fail("the script took longer than 115 s") })
	note("disruption: %v", trouble)
	return w
}

// startEntries starts n entries and waits until they are ready.
func (w *world) startEntries(n int) {
	for i := range n {
		w.entries = append(w.entries, newEntry(w, fmt.Sprintf("entry-%d", i+1)))
	}
	for _, e := range w.entries {
		e.start()
	}
	for _, e := range w.entries {
		e.awaitReady()
	}
	time.Sleep(2 * time.Second) // the entries take over the pools
}

// call sends a caller's request to one entry, and returns the status (0: no response) and
// the decoded body.
func (e *entry) call(method, host, path string, b any, deadline time.Duration) (int, fields) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if b != nil {
		reader = bytes.NewReader(encodeCBOR(b))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, reader)
	if err != nil {
		fail("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/cbor")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, fields{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fields{}
	}
	v, _ := decodeCBOR(append(data, nil...))
	o, _ := v.(object)
	return response.StatusCode, fields(o)
}
