// Package plannerrpc connects forwarders and planners: frames on lasting connections under mutual
// TLS. A Client is a forwarder's end for one pool, a Server a planner's for all of its pools. What is
// sent, and what follows from it, package planner decides.
//
// An end that does not take its messages in time loses the connection, and with it nothing but
// advice: nobody ever waits for the other end to take a message.
package plannerrpc
