// Command peridotstall runs the roles of the load balancer and the operator's
// tools.
package main

import (
	"os"

	"github.com/peridotstall/peridotstall/internal/cli"
)

func main() {
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
