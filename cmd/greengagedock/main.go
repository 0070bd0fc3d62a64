package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, streams{in: os.Stdin, out: os.Stdout, errors: os.Stderr}))
}
