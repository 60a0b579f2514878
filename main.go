// Command berylspan is an overload control layer for service call graphs.
package main

import (
	"os"

	"berylspan/io/berylapp"
	"berylspan/platform/berylrun"
)

func main() {
	os.Exit(berylapp.New(os.Stdout, os.Stderr, berylapp.Sidecar(berylrun.Run)).Run(os.Args[1:]))
}
