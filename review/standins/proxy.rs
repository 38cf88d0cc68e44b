//! A link that can be cut: bytes that were on their way are delivered when the cut has healed,
//! unless their sender has reset the connection; connections that are opened meanwhile hang.

use crate::world::bind;
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// One way of the link: 0.9 ms between zones.
const DELAY: Duration = Duration::from_micros(900);

pub struct Proxy {
    pub address: SocketAddr,
    held: AtomicBool,
    /// The link is cut when these bytes are on their way, if no other link was cut before by the
    /// same trigger.
    trigger: Mutex<Option<(String, Arc<AtomicBool>)>>,
}

impl Proxy {
    pub fn start(ip: Ipv4Addr, to: SocketAddr) -> Arc<Self> {
        let (listener, address) = bind(ip);
        let proxy = Arc::new(Self {
            address,
            held: AtomicBool::new(false),
            trigger: Mutex::default(),
        });
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = Arc::clone(&accepting);
                if proxy.is_held() {
                    // Its opening packet is lost. The client sees a connection that hangs.
                    thread::spawn(move || {
                        proxy.wait();
                        drop(client);
                    });
                    continue;
                }
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                for socket in [&client, &server] {
                    let _ = socket.set_nodelay(true);
                }
                if let (Ok(from), Ok(into)) = (client.try_clone(), server.try_clone()) {
                    let there = Arc::clone(&proxy);
                    thread::spawn(move || there.copy(from, into, true));
                    thread::spawn(move || proxy.copy(server, client, false));
                }
            }
        });
        proxy
    }

    pub fn hold(&self) {
        self.held.store(true, Ordering::SeqCst);
    }

    pub fn release(&self) {
        self.held.store(false, Ordering::SeqCst);
    }

    pub fn is_held(&self) -> bool {
        self.held.load(Ordering::SeqCst)
    }

    pub fn cut_at(&self, text: &str, armed: &Arc<AtomicBool>) {
        *self.trigger.lock().unwrap() = Some((text.to_owned(), Arc::clone(armed)));
    }

    fn wait(&self) {
        while self.is_held() {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_request: bool) {
        let mut buffer = vec![0; 65_536];
        loop {
            // A reset shows as an error, also after a cut: what was on its way is then lost.
            let Ok(length) = from.read(&mut buffer) else {
                self.wait();
                let _ = to.shutdown(Shutdown::Both);
                return;
            };
            if length == 0 {
                self.wait();
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            thread::sleep(DELAY);
            if is_request {
                let trigger = self.trigger.lock().unwrap();
                if let Some((text, armed)) = &*trigger
                    && buffer.starts_with(text.as_bytes())
                    && armed.swap(false, Ordering::SeqCst)
                {
                    self.hold();
                }
            }
            if self.is_held() {
                self.wait();
                if is_request && is_reset(&from) {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
            if to.write_all(&buffer[..length]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Whether the peer has reset the connection; an orderly close isn't a reset.
fn is_reset(socket: &TcpStream) -> bool {
    let _ = socket.set_nonblocking(true);
    let seen = socket.peek(&mut [0]);
    let _ = socket.set_nonblocking(false);
    seen.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}
