// Package finding collects the problems in input files, each with its file,
// line, section and setting, so that all of them are reported together.
package finding
