// Command pimentorill is the command-line tool that sends requests to pipelines and
// operates hosts.
package main

import (
	"os"

	"github.com/pimentorill/pimentorill/internal/cli"
	"github.com/pimentorill/pimentorill/platform"
)

func main() {
	os.Exit(cli.Run(cli.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, DecodePlatformConfig: platform.DecodeConfig}, os.Args[1:]))
}
