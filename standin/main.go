// Command standin is being built.
package main

func main() {}
