package platform

// callKind is the kind by which calls to the platform are counted.
type callKind string

const (
	callRead  callKind = "read"
	callWrite callKind = "write"
	callWatch callKind = "watch"
)
