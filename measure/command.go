package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Command runs the campaign, prints the report and writes measure.json and
// measure.png into the folder. A missed bound is reported, not an error.
func Command(seed uint64, folder string) error {
	c, err := Run(seed)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := c.Print(os.Stdout); err != nil {
		return err
	}
	data, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "measure.json"), data, 0o644); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return c.plot(filepath.Join(folder, "measure.png"))
}
