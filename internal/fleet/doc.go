// Package fleet holds the core types shared by every other package: the
// instances, pools, services and teams of one fleet. It has no behaviour
// beyond parsing and printing and imports nothing but the standard library.
package fleet
