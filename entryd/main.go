// Command entryd is being built.
package main

func main() {}
