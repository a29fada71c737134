// Package service holds what a node serves: the route table, the services with their limits, and the
// pools behind them.
//
// Front ends of any protocol ask a Set two things. Set.Find says where a request goes: its service, pool
// and class. Set.Admit admits the request within the limits of its service and pool and of the machine,
// or rejects it; what it returns is given back once the request has ended.
//
// What is in force is one immutable table, replaced as a whole by Set.Apply or Set.Change: requests read
// it without a lock. Pools that a change leaves alone are in both tables and keep what they have learned;
// a pool that is replaced or removed is retired: it takes nothing more, ends what it has, and is closed.
package service
