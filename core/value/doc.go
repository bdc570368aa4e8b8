// Package value parses the values of settings. Each Parser parses one type,
// describes it for the reference page, and returns errors that explain to the
// user what is wrong with the value.
package value
