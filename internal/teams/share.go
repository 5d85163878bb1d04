package teams

// Share is what the configuration grants a team.
type Share struct {
	Weight   float64 // jobs a second; also the team's part of a full pool, in proportion to the other weights; 0: none of it
	Priority int     // 0 is the highest
}
