package latecalls

// fields are the named values of a body.
type fields map[string]any
