//! Tests of the request path's parts over real sockets on loopback.

mod kept;
