package fleet

// Listing is the platform's list of instances with the entity tag of the
// response. An empty tag means that the response had none.
type Listing struct {
	Tag       string
	Instances []Instance
}
