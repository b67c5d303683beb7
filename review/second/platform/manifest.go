package main

import "fmt"

// plainRoute returns a route of the safe kind in the platform's format.
func plainRoute(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":%q,`+
		`"maxAttempts":2,"sessionAffinity":false,"resumable":false}`, name, host, prefix, service)
}

// streamRoute returns a route of the streaming kind.
func streamRoute(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"streaming","timeoutMs":8000,"targetLatencyMs":600,"priority":0,"service":%q,`+
		`"maxAttempts":1,"sessionAffinity":true,"resumable":false,"gapAimMs":300}`, name, host, prefix, service)
}

// plainService returns a plain service.
func plainService(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}`, name)
}

// engineService returns a service of model engines with one model and its adapters.
func engineService(name string, adapters int) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConnections":240,"protocol":"h1","tls":false,"engine":{"slots":32,"kvCapacity":112181,`+
		`"weightsMb":200000.0,"adapterSlots":%d,"loadsPerS":2.1,"models":[{"name":%q,"weightsMb":65100.0,"loadS":1.4,"adapters":%d,"adapterMb":12.0,`+
		`"warmS":1.2,"diskS":1.6}]}}`, name, adapterSlots, baseModel, adapters)
}

// manifestText returns a manifest. routes and services are lists without brackets.
func manifestText(version int, routes, services string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, routes, services)
}
