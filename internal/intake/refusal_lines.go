package intake

// refusalLines bounds the log lines about refusals, which callers cause.
type refusalLines struct {
	refused   lineLimit
	notStored lineLimit
}
