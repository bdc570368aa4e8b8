// Package design describes the platform's interfaces, from which package gen
// is generated.
package design
