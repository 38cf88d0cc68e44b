//! HTTP/1.1 over blocking sockets: a server with a thread a connection, and a client.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// What a handler does with a call.
pub enum Reply {
    Answer(u16, String),
    /// The connection delivers nothing further, and stays open.
    Silence,
    /// The connection is closed without an answer.
    Close,
}

pub trait Handler: Send + Sync + 'static {
    /// Called before anything of the next request is read: `false` leaves the connection open and
    /// never reads from it again.
    fn may_read(&self, _connection: u64) -> bool {
        true
    }

    fn serve(&self, request: Request, connection: u64) -> Reply;
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("0");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut request = Request {
        method,
        path: path.to_owned(),
        ..Request::default()
    };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        request.query.insert(decode(key), decode(value));
    }
    read_headers(reader, &mut request.headers)?;
    request.body = read_body(reader, &request.headers)?;
    Ok(Some(request))
}

fn read_headers(
    reader: &mut BufReader<TcpStream>,
    headers: &mut BTreeMap<String, String>,
) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(());
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.insert(key.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &BTreeMap<String, String>,
) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Serves `handler` at `address`; returns the bound address.
pub fn serve(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for (number, stream) in (1..).zip(listener.incoming()) {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            let worker = thread::Builder::new().stack_size(256 << 10);
            let spawned = worker.spawn(move || {
                let _ = connection(stream, &*handler, number);
            });
            drop(spawned);
        }
    });
    Ok(bound)
}

fn park(stream: &TcpStream) -> ! {
    let _keep = stream;
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}

fn connection(stream: TcpStream, handler: &dyn Handler, number: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        // Wait for the first byte, then ask whether the connection still delivers.
        if reader.fill_buf()?.is_empty() {
            return Ok(());
        }
        if !handler.may_read(number) {
            park(&writer);
        }
        let Some(request) = read_request(&mut reader)? else {
            return Ok(());
        };
        match handler.serve(request, number) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
            }
            Reply::Silence => park(&writer),
            Reply::Close => return Ok(()),
        }
    }
}

/// An answer to a client: status and body; `None` if there was none in time.
pub type Answer = Option<(u16, String)>;

/// A client's connection to one address; opened anew when it was closed.
pub struct Client {
    address: SocketAddr,
    open: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Sends one call and waits for its answer; after none, the connection is closed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
        wait: Duration,
    ) -> Answer {
        let answer = self.try_call(method, path, host, body, wait).ok();
        let Some((status, body, close)) = answer else {
            self.open = None;
            return None;
        };
        if close {
            self.open = None;
        }
        Some((status, body))
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
        wait: Duration,
    ) -> io::Result<(u16, String, bool)> {
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, wait)?;
            stream.set_nodelay(true)?;
            self.open = Some(BufReader::new(stream));
        }
        let reader = self.open.as_mut().expect("just opened");
        reader.get_ref().set_read_timeout(Some(wait))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nPrimroseroute-Timeout-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            wait.as_millis(),
            body.len()
        );
        reader
            .get_mut()
            .write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split_whitespace().nth(1);
        let status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
        let mut headers = BTreeMap::new();
        read_headers(reader, &mut headers)?;
        let body = read_body(reader, &headers)?;
        let close = headers.get("connection").is_some_and(|v| v == "close");
        Ok((status, String::from_utf8_lossy(&body).into_owned(), close))
    }
}
