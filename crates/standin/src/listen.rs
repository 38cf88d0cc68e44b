//! A listener whose connections end with it.

use std::{io, net::SocketAddr};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// A running listener; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and gives every connection to `serve`.
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
            accepting: tokio::spawn(accept(listener, serve)),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection, whatever is under way.
    pub(crate) fn stop(&self) {
        self.accepting.abort();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Takes connections; the set ends the connections' tasks when this one ends.
async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Without this, an answer of several writes waits for the client's delayed
                // acknowledgement. A socket that refuses it is closed already.
                drop(stream.set_nodelay(true));
                connections.spawn(serve(stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
