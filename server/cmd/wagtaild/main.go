// Command wagtaild is the daemon that runs beside each target.
package main

func main() {}
