// Command peridotstall runs the processes of the load balancer and provides its
// operator tools.
package main

import (
	"os"

	"github.com/peridotstall/peridotstall/internal/cli"
)

func main() {
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
