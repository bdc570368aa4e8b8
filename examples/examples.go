package examples

import "embed"

// FS contains the configuration folders, each named after its deployment.
//
//go:embed sock-club/*.ini skylights/*.ini
var FS embed.FS
