// Command acaciapath is the command line for operators: it checks, applies and compares
// configurations, manages API keys, and shows the state of the daemons.
package main
