package main

import "time"

type lease struct {
	entry string
	ttl   time.Duration
	ends  time.Time
}
