// Command experiment plays load patterns on a model of a deployment. It stands
// apart from the daemon so that the daemon carries no plotting code.
package main

import (
	"os"

	"berylspan/io/berylexperiment"
)

func main() {
	os.Exit(berylexperiment.Experiment{Out: os.Stdout, Err: os.Stderr}.Run(os.Args[1:]))
}
