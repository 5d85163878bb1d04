package test

// ledgerWord is what a caller of a keyed request was told.
type ledgerWord struct {
	key     string
	outcome string
	status  int
	body    string
}
