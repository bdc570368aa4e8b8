// Command standin runs stand-ins of what the project speaks to: the platform,
// a model engine or a plain service.
package main

func main() {}
