// Command standin runs small stand-ins of the platform's services.
package main

func main() {}
