// Package configuration defines the operators' configuration of the fleet: it
// generates one from the answers to a questionnaire, checks it, and orders its
// versions. It does not depend on how a configuration is encoded or sent.
package configuration
