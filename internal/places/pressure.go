package places

// Pressure is the share of the tasks of a rack that lately found no place there at once. A
// place that one of them takes is then missing for another one, so that a wait gains less
// in all. The zero value is a rack in which all found a place.
type Pressure float64

// pressureWeight is the weight of one task.
const pressureWeight = 0.05

// Add counts a task.
func (p *Pressure) Add(found bool) {
	*p -= pressureWeight * *p
	if !found {
		*p += pressureWeight
	}
}
