// Package configuration decides what the operators' configuration of the fleet
// is: it generates one from a questionnaire's answers, checks it, and orders
// its versions. It knows no encoding and no transport.
package configuration
