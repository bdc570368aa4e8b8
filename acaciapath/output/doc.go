// Package output prints the results of commands as text tables or as JSON.
package output
