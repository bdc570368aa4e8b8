// Package command is the operators' command line.
//
// Each command reads what it needs from its Environment, so that tests run the
// commands as they are. Results go to standard output, as tables or JSON;
// errors and findings go to standard error. The exit status tells the kind of
// failure apart.
package command
