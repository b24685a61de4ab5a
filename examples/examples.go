// Package examples holds the example deployments, so that a trial needs no file.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"basilrudder/internal/inventory"
)

//go:embed chikushi/*.toml kivu/*.toml
var files embed.FS

// Names of the example deployments.
const (
	Chikushi = "chikushi"
	Kivu     = "kivu"
)

// Files returns the published values of an example deployment.
func Files(name string) ([]inventory.File, error) {
	entries, err := fs.ReadDir(files, name)
	if err != nil {
		return nil, err
	}
	var out []inventory.File
	for _, entry := range entries {
		data, err := files.ReadFile(path.Join(name, entry.Name()))
		if err != nil {
			return nil, err
		}
		out = append(out, inventory.File{Name: path.Join(name, entry.Name()), Data: data})
	}
	return out, nil
}
