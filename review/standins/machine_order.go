package main

import "time"

type machineOrder struct {
	at      time.Time
	machine string
	what    string
	holder  string
	token   int64
}
