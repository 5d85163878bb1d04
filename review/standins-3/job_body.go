package main

type jobBody struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}
