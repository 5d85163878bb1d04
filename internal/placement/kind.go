package placement

// Kind identifies the jobs of one team and name, which are assumed to need the
// same resources and time.
type Kind struct {
	Team string
	Name string
}
