// Command acaciapath is the command line for operators. It checks, applies and compares
// configurations, manages API keys, shows the state of the daemons, explains from logs
// how a request was processed, and runs example deployments.
package main
