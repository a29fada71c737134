// Package emulator emulates the systems around a node on loopback: servers, discovery, clients, a certificate
// authority, and a network that can be made to fail. Tests, experiments and the demo use it.
//
// Server is a server of configured speed and capacity. ScriptedServer sends scripted responses. LateServer is a
// ScriptedServer that establishes connections only after it is opened. Discovery serves the endpoint list, Proxy is
// a faulty link, and Load is an open-loop load of client requests.
package emulator
