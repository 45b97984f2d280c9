// Command comfreylink schedules agent programs.
package main

func main() {}
