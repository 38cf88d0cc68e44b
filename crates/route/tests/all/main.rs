//! Tests of request path components over loopback sockets.

mod reuse;
