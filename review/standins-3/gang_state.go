package main

type gangState struct {
	members []member
	over    bool
}
