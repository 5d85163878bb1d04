package main

// gang is one run of a gang.
type gang struct {
	members map[string]*taskRun
	working bool
	over    bool
}
