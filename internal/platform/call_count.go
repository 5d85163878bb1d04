package platform

// CallCount is the number of calls to the platform of one kind for one purpose.
type CallCount struct {
	Purpose Purpose `json:"purpose"`
	Kind    string  `json:"kind"` // read, write or watch
	Calls   uint64  `json:"calls"`
}
