package configcheck

import "slices"

// regions checks the regions in which requests may run: that they have targets, and that each workspace shares one with each
// route, because both lists apply.
func (k *checker) regions() {
	for i, r := range k.config.Routes {
		p := Place{Section: Routes, Index: i, Name: r.Name}
		k.targetRegions(p, r.Regions)
		for _, w := range k.config.Workspaces {
			if disjoint(r.Regions, w.Regions) {
				k.warn(p, "Regions", "share none with those of the workspace %q, so its requests are refused", w.ID)
			}
		}
	}
	for i, w := range k.config.Workspaces {
		k.targetRegions(Place{Section: Workspaces, Index: i, Name: string(w.ID)}, w.Regions)
	}
}

func (k *checker) targetRegions(p Place, allowed []string) {
	if k.options.TargetRegions != nil {
		k.findings = append(k.findings, RegionFindings(p, "Regions", allowed, k.options.TargetRegions)...)
	}
}

// disjoint reports whether two lists of regions, of which an empty one means all, have none in common.
func disjoint(a, b []string) bool {
	return len(a) > 0 && len(b) > 0 && !slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}

// RegionFindings checks the regions in which the requests of a route or workspace may run; none means all. targets tells the
// regions that have targets.
func RegionFindings[R ~string](p Place, f Field, allowed []R, targets map[R]bool) (l []Finding) {
	if len(allowed) == 0 {
		return nil
	}
	served := false
	for _, region := range allowed {
		served = served || targets[region]
		if !targets[region] {
			l = append(l, Finding{Severity: Warning, Place: p, Field: f, Message: "the region " + string(region) + " has no target"})
		}
	}
	if !served {
		l = append(l, Finding{Severity: Error, Place: p, Field: f, Message: "no allowed region has a target, so all requests are refused"})
	}
	return l
}
