package placement

// Kind names the jobs of one team that are taken to be alike.
type Kind struct {
	Team string
	Name string
}
