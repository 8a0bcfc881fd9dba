//go:build review

// Standin runs one case of the review: it starts the project's programs as separate processes, plays clients, engines and the platform,
// and judges what they saw. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble tells whether the disruption takes place.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*platform) (broken string){}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) == 5 && os.Args[1] == "engine" {
		d, err := time.ParseDuration(os.Args[4])
		must(err)
		serveEngine(os.Args[2], os.Args[3], d)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	log := &record{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	p := &platform{record: log, dir: dir}
	defer p.stop()
	defer func() {
		if cause := recover(); cause != nil {
			unable, ok := cause.(cannotRun)
			if !ok {
				p.stop()
				panic(cause)
			}
			log.line("the case could not run: %s", unable.reason)
			fmt.Println("could not run:", unable.reason)
			code = 2
		}
	}()
	log.line("case %s, disruption: %v", os.Args[1], trouble)
	if broken := cases[os.Args[1]](p); broken != "" {
		log.line("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	log.line("held")
	fmt.Println("held")
	return 0
}

// settings returns the settings of a small deployment: those that README.md prints, with three classes.
func settings() map[string]any {
	return map[string]any{
		"bounds": map[string]any{"mayCancel": true, "mayProbe": true, "secondCopies": false, "maxAttempts": 5, "maxOpen": 20000,
			"connectTimeout": 250000, "idleClose": 15000000},
		"classes": []any{
			map[string]any{"name": "lookup", "idempotency": "idempotent", "objective": 800000, "aimStretch": 2.0, "deadline": 4000000, "gain": 1.0, "group": "all"},
			map[string]any{"name": "report", "idempotency": "idempotent", "objective": 3000000, "aimStretch": 2.5, "deadline": 15000000, "gain": 7.5, "lateShare": 0.3, "group": "all"},
			map[string]any{"name": "price-load", "idempotency": "at_most_once", "objective": 3000000, "aimStretch": 2.5, "deadline": 25000000, "gain": 10.0, "lateShare": 0.6, "group": "all"},
		},
		"discovery": "pushed", "machineTypes": []string{"std"}, "zone": "east", "areas": []string{"east"}, "tick": 5000, "replicasOfMe": 2,
		"extra": map[string]any{"cpuOfKind": []int{16}, "ramOfKindMb": []int{32768}, "threadsByClass": []int{1, 2, 2},
			"waitsForLoads": []bool{true, false, false}, "writesTables": []bool{false, false, true}, "tellsEvery": 500000, "onShortage": "page"},
		"feedback":   map[string]any{"via": "inline", "fields": []string{"concurrent", "load_share"}},
		"guarantees": map[string]any{"drainGrace": 1000000, "coldShare": 0.31, "warmAfter": 15000000, "overloadFactor": 4.0, "fall": 1500000, "graceToAnswer": 20000},
	}
}
