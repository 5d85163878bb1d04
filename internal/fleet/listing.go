package fleet

// Listing is the platform's list of instances with the entity tag under which
// the platform showed it. An empty tag means that it gave none.
type Listing struct {
	Tag       string
	Instances []Instance
}
