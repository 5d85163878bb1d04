package latecalls

import "time"

// class is a kind of play.
type class struct {
	Name string
	// Lost is, by the path of a call, the share of calls that get no answer and are carried
	// out seconds later, by the incarnation that has the address then.
	Lost map[string]float64
	// KeepsConnections stands for a relay in front of each worker that keeps connections
	// open over its restart: what is sent on them reaches the next incarnation.
	KeepsConnections bool
	MaxDowntime      time.Duration // of a worker that restarts
	Disruptions      []disruption  // of the pool's owner, one of them a round
}

// Late calls: connections end with the worker's process, and half of the orders get no
// answer.
var lateCalls = &class{
	Name: "late", Lost: map[string]float64{startPath: 0.5, stopPath: 0.5, pollPath: 0.25}, MaxDowntime: 600 * time.Millisecond,
	Disruptions: []disruption{kills, stops, terminates, spares},
}

// keptConnections: no call gets lost, and calls reach the next incarnation while their
// callers wait for an answer.
var keptConnections = &class{
	Name: "kept", KeepsConnections: true, MaxDowntime: 200 * time.Millisecond, Disruptions: []disruption{kills, stops, terminates},
}

// plainRestarts has neither, for comparison.
var plainRestarts = &class{Name: "plain", MaxDowntime: 600 * time.Millisecond, Disruptions: []disruption{kills, stops, terminates, spares}}
