package configreview

// Kind tells how an entry differs between two configurations.
type Kind string

const (
	// Added is the kind of an entry that only the new configuration has.
	Added Kind = "added"
	// Changed is the kind of an entry whose fields differ.
	Changed Kind = "changed"
	// Removed is the kind of an entry that only the old configuration has.
	Removed Kind = "removed"
)
