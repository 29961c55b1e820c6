package cli

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptLimit ends a command that should have failed but runs.
const scriptLimit = time.Minute

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"peridotstall": func() { os.Exit(Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Each script in testdata guards against the failure that its first line names.
// BUSY is an address that another socket uses.
func TestCommands(t *testing.T) {
	busy, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	// The scripts run in parallel, after this function has returned.
	t.Cleanup(func() { busy.Close() })
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		Deadline: time.Now().Add(scriptLimit),
		Setup: func(env *testscript.Env) error {
			env.Setenv("BUSY", busy.LocalAddr().String())
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
	})
}
