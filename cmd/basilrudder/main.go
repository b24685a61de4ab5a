// Command basilrudder is not wired yet.
package main

func main() {}
