package inventory

import (
	"fmt"
	"sort"
	"strconv"

	"basilrudder/internal/schema/inventory"
	"basilrudder/schema"
)

// checker finds contradictions between the items of an inventory, also across files.
type checker struct {
	merged   *inventory.Inventory
	problems Problems

	dataCentres map[string]bool
	models      map[string]bool
	services    map[string]bool
	classes     map[string]bool
	tiers       map[int]bool
}

// location is the file and key at which a problem is reported.
type location struct {
	file string
	key  string
}

func (s location) child(key string) location {
	return location{file: s.file, key: s.key + "." + key}
}

func (s location) item(list string, index int, name string) location {
	return location{file: s.file, key: fmt.Sprintf("%s.%s[%d:%s]", s.key, list, index, name)}
}

func (s location) element(list string, index int) location {
	return location{file: s.file, key: fmt.Sprintf("%s.%s[%d]", s.key, list, index)}
}

func topLevelItem(file, list string, index int, name string) location {
	return location{file: file, key: fmt.Sprintf("%s[%d:%s]", list, index, name)}
}

// check runs all checks of the merged inventory. The parts give the file of each item.
func check(parts []*decodedFile, merged *inventory.Inventory) Problems {
	c := &checker{
		merged:      merged,
		dataCentres: make(map[string]bool, len(merged.DataCentres)),
		models:      make(map[string]bool, len(merged.Models)),
		services:    make(map[string]bool),
		classes:     make(map[string]bool, len(merged.Classes)),
		tiers:       make(map[int]bool, len(merged.Tiers)),
	}
	c.collectNames()
	c.checkRequiredLists()
	c.checkUnique(parts)
	c.checkFloors()
	for _, part := range parts {
		c.checkServers(part)
		c.checkClasses(part)
		c.checkCustomers(part)
	}
	return c.problems
}

func (c *checker) report(at location, value, expected string) {
	c.problems = append(c.problems, Problem{File: at.file, Key: at.key, Value: value, Expected: expected})
}

func (c *checker) collectNames() {
	for _, dc := range c.merged.DataCentres {
		c.dataCentres[dc.Name] = true
	}
	for _, model := range c.merged.Models {
		c.models[model.Name] = true
	}
	for _, class := range c.merged.Classes {
		c.classes[class.Name] = true
	}
	for _, tier := range c.merged.Tiers {
		c.tiers[tier.Tier] = true
	}
	for _, server := range c.merged.Servers {
		for _, engine := range server.Engines {
			for _, service := range engine.Services {
				c.services[service] = true
			}
		}
	}
}

// checkRequiredLists rejects an inventory in which a required list is empty. Otherwise a
// manifest that omits a file would remove every customer or server at once.
func (c *checker) checkRequiredLists() {
	lists := []struct {
		key   string
		count int
	}{
		{"data_centres", len(c.merged.DataCentres)},
		{"servers", len(c.merged.Servers)},
		{"classes", len(c.merged.Classes)},
		{"customers", len(c.merged.Customers)},
		{"tiers", len(c.merged.Tiers)},
	}
	for _, list := range lists {
		if list.count == 0 {
			c.report(location{file: wholeInventory, key: list.key}, schema.MissingValue, "at least one entry in some file")
		}
	}
}

// checkFloors checks that the floor shares of all tiers add up to at most 1, the whole
// capacity of a group.
func (c *checker) checkFloors() {
	sum := 0.0
	for _, tier := range c.merged.Tiers {
		sum += tier.FloorShare
	}
	if sum > 1 {
		at := location{file: wholeInventory, key: "tiers[].floor_share"}
		c.report(at, strconv.FormatFloat(sum, 'g', 6, 64), "shares that add up to at most 1")
	}
}

func (c *checker) checkServers(part *decodedFile) {
	for i, server := range part.content.Servers {
		at := topLevelItem(part.file, "servers", i, server.Name)
		if !c.dataCentres[server.DataCentre] {
			c.report(at.child("data_centre"), quote(server.DataCentre), "one of the data centres "+formatNames(c.dataCentres))
		}
		for j, engine := range server.Engines {
			c.checkEngine(at.item("engines", j, engine.Name), server.Kind, engine)
		}
	}
}

func (c *checker) checkEngine(at location, kind inventory.ServerKind, engine inventory.Engine) {
	if kind == inventory.ServerKindApplication {
		c.checkEngineLists(at, "application", "services", engine.Services, "models", engine.Models)
		return
	}
	c.checkEngineLists(at, "model", "models", engine.Models, "services", engine.Services)
	for i, model := range engine.Models {
		if !c.models[model] {
			c.report(at.element("models", i), quote(model), "one of the models "+formatNames(c.models))
		}
	}
}

func (c *checker) checkEngineLists(at location, kind, requiredKey string, required []string, otherKey string, other []string) {
	if len(required) == 0 {
		c.report(at.child(requiredKey), schema.MissingValue, "at least one entry, because the server's kind is "+kind)
	}
	if len(other) > 0 {
		c.report(at.child(otherKey), quote(other[0]), "no entry, because the server's kind is "+kind)
	}
	seen := make(map[string]bool, len(required))
	for i, name := range required {
		if seen[name] {
			c.report(at.element(requiredKey, i), quote(name), "each name once")
		}
		seen[name] = true
	}
}

func (c *checker) checkClasses(part *decodedFile) {
	for i, class := range part.content.Classes {
		at := topLevelItem(part.file, "classes", i, class.Name)
		c.checkTarget(at, class)
		c.checkTier(at.child("tier"), class.Tier)
		seen := make(map[string]bool, len(class.SubscriptionTiers))
		for j, override := range class.SubscriptionTiers {
			c.checkTier(at.element("subscription_tiers", j).child("tier"), override.Tier)
			if seen[override.Subscription] {
				c.report(at.element("subscription_tiers", j).child("subscription"), quote(override.Subscription), "each subscription once")
			}
			seen[override.Subscription] = true
		}
		if class.DeadlineMS > 0 && class.FirstTokenMS > class.DeadlineMS {
			c.report(at.child("first_token_ms"), strconv.Itoa(class.FirstTokenMS), "at most deadline_ms, "+strconv.Itoa(class.DeadlineMS))
		}
	}
}

// checkTarget checks the target of a class. A class without one is valid: its callers name
// the model.
func (c *checker) checkTarget(at location, class inventory.Class) {
	if class.Kind == inventory.ClassKindService {
		if class.Service != "" && !c.services[class.Service] {
			c.report(at.child("service"), quote(class.Service), "one of the services that servers offer: "+formatNames(c.services))
		}
		if class.Model != "" {
			c.report(at.child("model"), quote(class.Model), `no model, because the class's kind is service`)
		}
		return
	}
	if class.Model != "" && !c.models[class.Model] {
		c.report(at.child("model"), quote(class.Model), "one of the models "+formatNames(c.models))
	}
	if class.Service != "" {
		c.report(at.child("service"), quote(class.Service), `no service, because the class's kind is model`)
	}
}

func (c *checker) checkTier(at location, tier int) {
	if c.tiers[tier] {
		return
	}
	numbers := make([]int, 0, len(c.tiers))
	for number := range c.tiers {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	c.report(at, strconv.Itoa(tier), fmt.Sprintf("one of the tiers %v", numbers))
}

func (c *checker) checkCustomers(part *decodedFile) {
	for i, customer := range part.content.Customers {
		for j, class := range customer.Classes {
			if !c.classes[class] {
				at := topLevelItem(part.file, "customers", i, customer.Name).element("classes", j)
				c.report(at, quote(class), "one of the classes "+formatNames(c.classes))
			}
		}
	}
}
