//! Crowds of clients that hold what they have sent, against entries as processes.
//!
//! A test checks that the process lives, that its memory and its open sockets stay within the limits of its
//! machine, and that an ordinary request is answered afterwards, while the crowd keeps its connections open.
//! It checks no times. The tests run one at a time, since each of them looks at the memory of a process.

mod bodies;
mod client;
mod connections;
mod entry;
mod heads;
mod parsing;
mod requests;
mod responses;
mod stop;

/// Declares one test per case; a case fails by returning an error.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        #[serial_test::serial]
        async fn $name() -> eyre::Result<()> {
            $body.await
        }
    )*};
}
pub(crate) use cases;
