package platform

// callKind says how the platform counts a call.
type callKind string

const (
	callRead  callKind = "read"
	callWrite callKind = "write"
	callWatch callKind = "watch"
)
