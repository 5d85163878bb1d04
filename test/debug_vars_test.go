package test

// debugVars is what the tests read of an entry's /debug/vars.
type debugVars struct {
	Entry entryVars `json:"entry"`
}
