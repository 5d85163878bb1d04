package api

// EventType is the kind of change that an event reports.
type EventType string

// The event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)
