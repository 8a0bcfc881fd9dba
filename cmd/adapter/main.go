// Adapter hosts independent instances of the decision module for the simulator, which runs them through simulated days. It reads a
// batch of events from each line of standard input and writes the reply as a line to standard output. It makes no decisions.
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
