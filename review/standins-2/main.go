// Command standins-2 holds the stand-ins and the clients of the cases of the second review that
// are scripts. Its argument names the case, the second one the file of its record. The variable
// TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns what breaks the rule; empty if nothing does.
var cases = map[string]func(trouble bool) string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	openRecord(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stop; exit(2) }()
	go func() { time.Sleep(110 * time.Second); note("the case takes too long"); exit(2) }()
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, with disruption: %v", os.Args[1], trouble)
	if broken := cases[os.Args[1]](trouble); broken != "" {
		note("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		exit(1)
	}
	note("rule held")
	fmt.Println("rule held")
	exit(0)
}
