// Package evacuation knows which failure domains the operator evacuates, by what a store says
// that may lose its latest rows and be restored from a copy.
package evacuation
