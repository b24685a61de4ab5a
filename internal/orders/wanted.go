package orders

import (
	"slices"
	"strings"

	"basilrudder/internal/catalog"
	"basilrudder/internal/enginehttp"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
)

// defaultVersion of a model without a published version.
const defaultVersion = "1"

// wanted is what an engine should hold. It follows from the catalog alone, so
// two instances at the same revision send the same order.
type wanted struct {
	models []string // name@version, sorted
	role   string
}

// wantedOf returns what the engine should hold, or false for the worker pool of
// an application server, which gets no orders.
//
// The engines of a withdrawn server are told so: an instance that slept or was
// cut off does not know of the withdrawal, and its work must be refused where it
// arrives. They keep their models, which costs nothing and lets them come back.
func wantedOf(cat *catalog.Catalog, engine *catalog.Engine) (wanted, bool) {
	server := engine.Server.Spec
	if server.Kind != inventory.ServerKindModel {
		return wanted{}, false
	}
	w := wanted{models: []string{}, role: string(engine.Spec.Role)}
	if w.role == "" {
		w.role = string(inventory.RoleMixed)
	}
	if server.Withdrawn {
		w.role = enginehttp.RoleWithdrawn
	}
	for _, name := range engine.Spec.Models {
		w.models = append(w.models, withVersion(cat, name))
	}
	slices.Sort(w.models)
	w.models = slices.Compact(w.models)
	return w, true
}

func withVersion(cat *catalog.Catalog, name string) string {
	if strings.Contains(name, "@") {
		return name
	}
	for _, model := range cat.Inventory.Models {
		if model.Name == name && model.Version != "" {
			return name + "@" + model.Version
		}
	}
	return name + "@" + defaultVersion
}

func (w wanted) equal(other wanted) bool {
	return w.role == other.role && slices.Equal(w.models, other.models)
}

// difference is what separates a report from what is wanted.
type difference struct {
	// missing models that the engine neither holds nor loads.
	missing bool
	// other says that the engine has models or a role it should not have.
	other bool
}

func (d difference) any() bool {
	return d.missing || d.other
}

func (w wanted) compare(report *engineapi.OrderAnswer) difference {
	var d difference
	for _, model := range w.models {
		if !slices.Contains(report.Models, model) && !slices.Contains(report.Loading, model) {
			d.missing = true
		}
	}
	role := report.Role
	if role == "" {
		role = string(inventory.RoleMixed)
	}
	d.other = role != w.role || hasOther(report.Loading, w.models) ||
		// While models load, the old ones go on serving.
		len(report.Loading) == 0 && hasOther(report.Models, w.models)
	return d
}

func hasOther(have, want []string) bool {
	return slices.ContainsFunc(have, func(model string) bool { return !slices.Contains(want, model) })
}
