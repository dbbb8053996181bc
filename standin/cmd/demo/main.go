// Command demo runs a small mesh of separate processes and checks what became of every request.
package main

func main() {}
