// Package command implements the command line for operators.
//
// All input and output goes through an Environment, so that tests can run the
// commands unchanged. Results go to standard output, as tables or JSON; errors and
// findings go to standard error. The exit status tells the kind of failure.
package command
