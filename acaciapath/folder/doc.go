// Package folder reads and changes an operator's configuration folder: its base
// revision, its files, and the API keys that they declare.
package folder
