package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Command runs all simulations, prints the report to standard output and writes measure.json and
// measure.png to the directory dir. A missed bound is reported and is not an error.
func Command(seed uint64, dir string) error {
	c, err := Run(seed)
	if err != nil {
		return fmt.Errorf("run simulations: %w", err)
	}
	if err := c.Print(os.Stdout); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	data, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create results directory: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "measure.json"), data, 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := c.plot(filepath.Join(dir, "measure.png")); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
