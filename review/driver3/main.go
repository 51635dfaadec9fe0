// Command driver3 runs one case of the review: it starts stand-ins of the platform's store,
// of workers and of clients, and the project's processes, and checks one rule.
//
// Usage: driver3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment, it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// routerCommand is the command of the role in deploy/system.toml.
const routerCommand = "target/laburnumroadd gateway"

// maxTime is when a case ends that hangs.
const maxTime = 115 * time.Second

var cases = map[string]func(w *world) (broken bool){
	"budget-after-restore":       budgetAfterRestore,
	"route-after-restore":        routeAfterRestore,
	"manifest-after-restore":     manifestAfterRestore,
	"removal-beside-cut-watches": removalBesideCutWatches,
	"drain-after-restore":        drainAfterRestore,
}

// cleanUp ends the processes and removes the temporary folder.
var cleanUp = func() {}

func main() {
	// The kernel ends the processes with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: driver3 CASE RECORD")
	}
	time.AfterFunc(maxTime, func() { cannotRun("the case did not end in %s", maxTime) })
	dir, err := os.MkdirTemp("", "review3-")
	check(err)
	w := newWorld(dir, routerCommand, os.Getenv("TROUBLE") != "0")
	cleanUp = func() {
		for _, r := range w.routers {
			r.kill()
		}
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}
	broken := cases[os.Args[1]](w)
	w.finish(os.Args[2])
	cleanUp()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}
