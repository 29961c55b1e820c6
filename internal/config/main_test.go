package config

import (
	"testing"

	"github.com/peridotstall/peridotstall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, "20260101") }
