// Package examples holds complete configuration folders, one for each example
// deployment.
package examples

import "embed"

// FS holds the folders, each named after its deployment.
//
//go:embed sock-club/*.ini skylights/*.ini
var FS embed.FS
