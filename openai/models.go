package openai

import (
	"net/http"

	"magnoliaspoke.example/spoke"
)

// models lists the models that the caller's workspace may use.
func (x *exchange) models() error {
	list := modelList{Object: "list", Data: []modelBody{}}
	for _, model := range x.manifest.Models() {
		if x.allowed(model.Service) {
			list.Data = append(list.Data, encodeModel(model))
		}
	}
	x.writeJSON(http.StatusOK, list)
	return nil
}

func (x *exchange) model() error {
	name := x.r.PathValue("model")
	model, ok := x.visibleModel(spoke.ModelName(name))
	if !ok {
		refusal := spoke.RefuseNotRun(spoke.CodeNotFound, "unknown model %q", name)
		refusal.Param = "model"
		return refusal
	}
	x.writeJSON(http.StatusOK, encodeModel(model))
	return nil
}

// visibleModel finds a model; one of a service that the workspace may not use
// is as unknown as one that does not exist.
func (x *exchange) visibleModel(name spoke.ModelName) (spoke.Model, bool) {
	model, ok := x.manifest.Model(name)
	return model, ok && x.allowed(model.Service)
}

func encodeModel(model spoke.Model) modelBody {
	return modelBody{ID: string(model.Name), Object: "model", OwnedBy: string(model.Service)}
}
