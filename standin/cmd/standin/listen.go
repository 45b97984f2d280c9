package main

import "github.com/urfave/cli/v3"

// listenFlag is the flag that every stand-in has.
func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on; port 0 takes a free one"}
}
