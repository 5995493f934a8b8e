// Command adapter runs isolated instances of the routing module and exchanges messages with a simulator over standard
// input and output.
package main

import (
	"fmt"
	"os"

	"cairntiller/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
