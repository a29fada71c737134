// Command jasperpin is a load balancer. With no command it serves: by the file
// that the operator owns or, where GW_CONFIG is set and no file is named, by what
// the platform tells.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	if err := root().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "jasperpin:", err)
		os.Exit(1)
	}
}
