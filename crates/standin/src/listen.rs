//! A TCP listener that closes its connections when it stops.

use std::{io, net::SocketAddr};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// A running listener; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and passes every connection to `serve`.
    pub(crate) async fn bind<F>(
        address: SocketAddr,
        serve: impl Fn(TcpStream) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            address: listener.local_addr()?,
            accept_task: tokio::spawn(accept(listener, serve)),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection, including those with a request in progress.
    pub(crate) fn stop(&self) {
        self.accept_task.abort();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Accepts connections. Their tasks are aborted with this one, because that drops the `JoinSet`.
async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Without TCP_NODELAY, a response of several writes waits for the client's delayed
                // acknowledgement. Setting it fails only on a socket that is already closed.
                drop(stream.set_nodelay(true));
                connections.spawn(serve(stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
