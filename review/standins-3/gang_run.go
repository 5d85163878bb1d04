package main

type gangRun struct {
	gang    string
	attempt int
}
