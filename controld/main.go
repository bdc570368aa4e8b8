// Command controld is being built.
package main

func main() {}
