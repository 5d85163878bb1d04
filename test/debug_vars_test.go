package test

// debugVars holds the part of an entry's /debug/vars that the tests read.
type debugVars struct {
	Entry entryVars `json:"entry"`
}
