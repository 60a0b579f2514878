// Command berylspan is an overload control layer for service call graphs.
package main

import (
	"os"

	"berylspan/io/berylapp"
	"berylspan/io/berylsignals"
	"berylspan/platform/berylhttpdemo"
	"berylspan/platform/berylrun"
)

func main() {
	signals := berylsignals.New() // First, as signals may come at any time.
	os.Exit(berylapp.New(os.Stdout, os.Stderr, berylapp.Signals(signals), berylapp.Sidecar(berylrun.Run), berylapp.DemoHTTP(berylhttpdemo.Run)).Run(os.Args[1:]))
}
