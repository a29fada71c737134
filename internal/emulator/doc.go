// Package emulator has the systems around a node, on loopback: servers, discovery, clients, certificates,
// and a network that can be made to fail. Tests, experiments and the demo use it.
//
// Box is a server of stated speed and capacity, Raw one that is scripted, Unready one to which connections
// are established late. Discovery lists servers, Proxy is a faulty link, and Load is the clients.
package emulator
