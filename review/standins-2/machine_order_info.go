package main

import (
	"time"
)

// machineOrderInfo is an order that the cloud received.
type machineOrderInfo struct {
	at              time.Time
	holder, machine string
	token           string
}
