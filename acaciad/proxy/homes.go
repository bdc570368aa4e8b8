package proxy

import "acaciapath.example/core/placement"

// homes returns the failure domains in which the request may be executed, by the catalog that
// is in use now. The homes of a route or client account that the catalog no longer has stay as
// they were when the request arrived. It is safe for concurrent use.
func (x *exchange) homes() placement.Homes {
	homes := x.view.Homes(x.route, x.account)
	view := x.handler.Directory.View()
	if view == x.view {
		return homes
	}
	route, account := view.Index.Route(x.request.Host, x.request.URL.Path), x.account
	if account != nil {
		account = view.Index.AccountByKey(x.metadata.APIKey)
	}
	current := view.Homes(route, account)
	if route == nil {
		current.Route = homes.Route
	}
	if account == nil {
		current.Account = homes.Account
	}
	return current
}

// placeRefusal returns the refusal for a request that was sent to no backend server because of
// its homes or an evacuation, or nil if that is not why.
func (x *exchange) placeRefusal() *refusal {
	if len(x.attempts) > 0 {
		return nil
	}
	switch x.handler.Directory.Barrier(x.service, x.requirements.Homes) {
	case placement.OutsideHomes:
		return outsideHomes
	case placement.EvacuatedHomes:
		return evacuatedHomes
	}
	return nil
}
