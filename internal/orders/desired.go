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

// desiredState is what an engine should hold. It follows from the catalog alone, so
// two instances at the same revision send the same order.
type desiredState struct {
	models []string // name@version, sorted
	role   string
}

// desiredStateOf returns what the engine should hold, or false for the worker pool of
// an application server, which gets no orders.
//
// The engines of a withdrawn server are told so: an instance that slept or was
// cut off does not know of the withdrawal, and its work must be refused where it
// arrives. They keep their models, which costs nothing and lets them come back.
func desiredStateOf(cat *catalog.Catalog, engine *catalog.Engine) (desiredState, bool) {
	server := engine.Server.Spec
	if server.Kind != inventory.ServerKindModel {
		return desiredState{}, false
	}
	s := desiredState{models: []string{}, role: string(engine.Spec.Role)}
	if s.role == "" {
		s.role = string(inventory.RoleMixed)
	}
	if server.Withdrawn {
		s.role = enginehttp.RoleWithdrawn
	}
	for _, name := range engine.Spec.Models {
		s.models = append(s.models, withVersion(cat, name))
	}
	slices.Sort(s.models)
	s.models = slices.Compact(s.models)
	return s, true
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

func (s desiredState) equal(other desiredState) bool {
	return s.role == other.role && slices.Equal(s.models, other.models)
}

// difference is what separates a report from what is wanted.
type difference struct {
	// missing models that the engine neither holds nor loads.
	missing bool
	// unexpected says that the engine has models or a role it should not have.
	unexpected bool
}

func (d difference) any() bool {
	return d.missing || d.unexpected
}

func (s desiredState) compare(report *engineapi.OrderAnswer) difference {
	var d difference
	for _, model := range s.models {
		if !slices.Contains(report.Models, model) && !slices.Contains(report.Loading, model) {
			d.missing = true
		}
	}
	role := report.Role
	if role == "" {
		role = string(inventory.RoleMixed)
	}
	d.unexpected = role != s.role || hasUnexpected(report.Loading, s.models) ||
		// While models load, the old ones go on serving.
		len(report.Loading) == 0 && hasUnexpected(report.Models, s.models)
	return d
}

func hasUnexpected(reported, desired []string) bool {
	return slices.ContainsFunc(reported, func(model string) bool { return !slices.Contains(desired, model) })
}
