package main

import "time"

type taskStart struct {
	at      time.Time
	task    string
	attempt int64
	runner  string
	token   int64
}
