// Command stand2 holds the stand-ins of the review: the platform's store, upstreams and clients,
// and the cases that start the daemons around them.
package main

import (
	"encoding/json"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 upstream SPEC | stand2 CASE RECORD")
		os.Exit(2)
	}
	if os.Args[1] == "upstream" {
		var spec UpstreamSpec
		if err := json.Unmarshal([]byte(os.Args[2]), &spec); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		if err := runUpstream(spec); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(2)
	}
	p, err := newPlatform("target/berylspan", os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := run(p, os.Getenv("TROUBLE") != "0")
	p.close()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// cases returns what broke the rule, "" if it held.
var cases = map[string]func(p *Platform, trouble bool) (string, error){
	"crash":      crashCase,
	"forms":      formsCase,
	"leaver":     leaverCase,
	"slowreader": slowReaderCase,
}
