package cli

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptTimeout limits the scripts, in case a command that should fail keeps running.
const scriptTimeout = time.Minute

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"peridotstall": func() { os.Exit(Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Each script in testdata guards against the failures that its comments name. BUSY is
// an address that is in use, EXAMPLES the directory of the examples.
func TestCommands(t *testing.T) {
	busy, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	// The scripts run in parallel, after this function has returned.
	t.Cleanup(func() { busy.Close() })
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		Deadline: time.Now().Add(scriptTimeout),
		Setup: func(env *testscript.Env) error {
			env.Setenv("BUSY", busy.LocalAddr().String())
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
	})
}
