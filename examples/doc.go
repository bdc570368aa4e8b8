// Package examples holds complete configuration folders, one for each example
// deployment.
package examples
