//! HTTP/1.1 over loopback: a server with a thread for each connection, and single requests.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A request.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    /// The path with its query.
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// When its connection was accepted.
    pub opened: Instant,
}

impl Request {
    /// A header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(known, _value)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_name, value)| value)
    }

    /// A decoded parameter of the query, or an empty text.
    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_path, query)| query);
        let found = query.split('&').find_map(|pair| {
            let (known, value) = pair.split_once('=')?;
            (known == name).then_some(value)
        });
        percent_decode(found.unwrap_or(""))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection ends without an answer.
    Nothing,
}

/// A listener whose connections can be closed.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Server {
    pub fn start(
        ip: &str,
        handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let server = Self {
            address: listener.local_addr()?,
            open: Arc::new(Mutex::new(Some(Vec::new()))),
        };
        let open = Arc::clone(&server.open);
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = Arc::clone(&handler);
                let Ok(kept) = stream.try_clone() else {
                    continue;
                };
                match &mut *open.lock().unwrap() {
                    Some(streams) => streams.push(kept),
                    None => return,
                }
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(server)
    }

    /// Closes the listener and all its connections, as the end of the process would.
    pub fn stop(&self) {
        let streams = self.open.lock().unwrap().take();
        for stream in streams.into_iter().flatten() {
            drop(stream.shutdown(Shutdown::Both));
        }
        // Wakes the accept loop, which then ends.
        drop(TcpStream::connect(self.address));
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    drop(stream.set_nodelay(true));
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let opened = Instant::now();
    while let Some(request) = read_request(&mut reader, opened) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Nothing => break,
        }
    }
    drop(writer.shutdown(Shutdown::Both));
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let found = headers
        .iter()
        .find(|(name, _value)| name.eq_ignore_ascii_case("content-length"));
    found.map_or(0, |(_name, value)| value.parse().unwrap_or(0))
}

fn read_request(reader: &mut impl BufRead, opened: Instant) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        headers,
        body: String::from_utf8(body).ok()?,
        opened,
    })
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&to, within).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        head += &format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    stream.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
