package main

import "time"

type leaseState struct {
	ttl  time.Duration
	ends time.Time
}
