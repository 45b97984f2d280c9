// Command demo runs the stand-ins, three daemons and one program, and prints what happens.
package main

func main() {}
