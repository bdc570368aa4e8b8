// Package folder keeps an operator's configuration folder: which revision it
// was made against, its files, and the keys that they declare.
package folder
