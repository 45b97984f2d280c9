package main

import "github.com/urfave/cli/v3"

// listenFlag returns the flag for the address that a stand-in listens on.
func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on; port 0 selects a free port"}
}
