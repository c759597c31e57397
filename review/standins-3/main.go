// Command standins3 plays the cases 11 to 15 of the third review: it starts hosts and servers as
// processes of their own, is their store and their clients, and checks what they see.
//
//	standins3 server FLAGS    one server
//	standins3 CASE FOLDER     one case, which writes record.txt into the folder
//
// TROUBLE=0 plays a case without its disruption. The exit code is 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(*fleet) (broken bool, err error){
	"leaving-cut": playLeavingCut,
	"frozen-cut":  playFrozenCut,
	"cold-return": playColdReturn,
	"dark-cut":    playDarkCut,
	"two-builds":  playTwoBuilds,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "server" {
		serve(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	f, err := newFleet(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	broken, err := cases[name](f)
	switch {
	case err != nil:
		f.note("couldn't run: %v", err)
		return exitFailed
	case broken:
		f.note("the rule was BROKEN")
		return exitBroken
	default:
		f.note("the rule held")
		return exitHeld
	}
}
