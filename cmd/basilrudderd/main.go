// Command basilrudderd is not wired yet.
package main

func main() {}
