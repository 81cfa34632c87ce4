// Command jayloft schedules urgent services and batch jobs on a few VMs.
package main

func main() {}
