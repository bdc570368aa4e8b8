// Package value parses the values of settings. Each Parser reads one type,
// names it for the reference page, and returns errors that tell a person what is
// wrong.
package value
