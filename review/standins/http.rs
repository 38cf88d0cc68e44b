//! HTTP/1.1 on threads: a server with a thread for each connection, and a client for one call.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

pub enum Reply {
    Answer(u16, String),
    /// Close the connection without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        Some((decode(key), decode(value)))
    });
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: Vec::new(),
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body.resize(length, 0);
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Serves until `open` is false; connections end then too, without answers to open calls.
pub fn serve(listener: TcpListener, open: Arc<AtomicBool>, handler: Handler) {
    thread::spawn(move || {
        let _ = listener.set_nonblocking(true);
        while open.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nonblocking(false);
                    let (open, handler) = (Arc::clone(&open), Arc::clone(&handler));
                    thread::spawn(move || connection(socket, &open, &handler));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn connection(socket: TcpStream, open: &AtomicBool, handler: &Handler) {
    let _ = socket.set_nodelay(true);
    let Ok(mut out) = socket.try_clone() else {
        return;
    };
    let _ = socket.set_read_timeout(Some(Duration::from_millis(100)));
    let mut reader = BufReader::new(socket);
    loop {
        // Waits for the next request without blocking for good.
        loop {
            if !open.load(Ordering::SeqCst) {
                return;
            }
            match reader.fill_buf() {
                Ok([]) => return,
                Ok(_) => break,
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return,
            }
        }
        let _ = reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_secs(5)));
        let Some(request) = read_request(&mut reader) else {
            return;
        };
        let _ = reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(100)));
        let reply = handler(&request);
        if !open.load(Ordering::SeqCst) {
            return;
        }
        match reply {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if out.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => return,
        }
    }
}

/// Calls once on a connection of its own; `None` if no whole answer came in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut socket = TcpStream::connect_timeout(&to, timeout).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nprimroseroute-timeout-ms: {}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    socket.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(socket);
    let left = |deadline: Instant| {
        let left = deadline.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    };
    reader.get_ref().set_read_timeout(left(deadline)).ok()?;
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.get_ref().set_read_timeout(left(deadline)).ok()?;
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
