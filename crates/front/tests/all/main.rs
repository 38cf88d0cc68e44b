//! Servers over sockets, with connections that share little memory.

mod connections;
