package daemon

import (
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// healthPath returns the path for health checks of a service. known is false while there is no configuration.
func (h *Hosted) healthPath(service string) (path string, known bool) {
	v := h.control.View()
	if s := serviceOf(v, service); s != nil {
		path = s.HealthPath
	}
	return path, v.Version != 0
}

// lookUpService implements announce.ServiceLookup.
func (h *Hosted) lookUpService(service string) (named, known bool) {
	v := h.control.View()
	return serviceOf(v, service) != nil, v.Version != 0
}

// serviceOf returns a service of the configuration in force; nil if it does not name it.
func serviceOf(v *view.View, name string) *config.Service {
	if v.Version == 0 {
		return nil
	}
	for i := range v.Content.Services {
		if v.Content.Services[i].Name == name {
			return &v.Content.Services[i]
		}
	}
	return nil
}
