// Command berylspan is an overload control layer for service call graphs.
package main

import (
	"os"

	"berylspan/io/berylapp"
	"berylspan/platform/berylhttpdemo"
	"berylspan/platform/berylrun"
)

func main() {
	os.Exit(berylapp.New(os.Stdout, os.Stderr, berylapp.Sidecar(berylrun.Run), berylapp.DemoHTTP(berylhttpdemo.Run)).Run(os.Args[1:]))
}
