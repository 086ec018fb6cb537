package catalog

import (
	"os"
	"testing"

	"github.com/amaranthswitch/amaranthswitch/fleet/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
