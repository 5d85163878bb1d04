package api

// EventType tells what a write did to a key.
type EventType string

// The types of events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)
