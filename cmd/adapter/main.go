// The adapter hosts independent instances of the decision module for the bench, which plays simulated days: batches of events
// on standard input, a reply a line on standard output. It decides nothing.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
