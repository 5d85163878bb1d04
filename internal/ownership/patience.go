package ownership

// maxPatience bounds Patience, so that the leases of the runs do not end while small
// members wait.
const maxPatience = 1.5

// Patience returns how many times as long a member waits for the assigned owner of a
// service as the strongest one does, before it takes the service over itself: in
// inverse proportion to its weight, from 1 to maxPatience. So a service that its
// assigned owner can't take goes to a member that can carry it.
func Patience(name string, members []Member) float64 {
	own, strongest := 0.0, 0.0
	for _, m := range members {
		strongest = max(strongest, m.weight())
		if m.Name == name {
			own = m.weight()
		}
	}
	if own == 0 {
		return maxPatience // it is not registered
	}
	return min(strongest/own, maxPatience)
}
