// Command adapter hosts isolated instances of the decision module on standard input and output.
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
